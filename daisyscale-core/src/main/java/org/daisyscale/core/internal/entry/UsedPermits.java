package org.daisyscale.core.internal.entry;

import java.util.LinkedHashSet;
import java.util.Set;
import org.daisyscale.core.request.Permit;

/**
 * Remembers the most recently used permits, so that a duplicate delivery of a permit isn't returned as unused while its
 * order runs. Bounded: the oldest permits are evicted first. Not thread-safe; confined to the core thread.
 */
final class UsedPermits {
    private static final int MAX_PERMITS = 10_000;

    private final Set<String> orderIds = new LinkedHashSet<>();

    void add(Permit permit) {
        orderIds.add(permit.orderId());
        if (orderIds.size() > MAX_PERMITS) {
            orderIds.remove(orderIds.iterator().next());
        }
    }

    boolean contains(Permit permit) {
        return orderIds.contains(permit.orderId());
    }
}
