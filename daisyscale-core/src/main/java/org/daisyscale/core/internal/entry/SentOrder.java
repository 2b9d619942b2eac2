package org.daisyscale.core.internal.entry;

import org.daisyscale.core.request.Permit;

/**
 * An order in flight. Immutable.
 *
 * @param permit the permit under which it was sent
 * @param dispatcher the router that the permit is returned to
 */
record SentOrder(Permit permit, String dispatcher) {

    SentOrder withDispatcher(String newDispatcher) {
        return new SentOrder(permit, newDispatcher);
    }
}
