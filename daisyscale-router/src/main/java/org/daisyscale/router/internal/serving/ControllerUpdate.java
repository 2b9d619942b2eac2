package org.daisyscale.router.internal.serving;

import org.daisyscale.core.peer.PeerMessage.OperatorUpdate;
import org.daisyscale.core.serving.ConfigurationSource;

/**
 * An update of the controller as this router received it. Immutable.
 *
 * @param controllerId the router that sent it
 * @param update what operators wrote
 */
record ControllerUpdate(String controllerId, OperatorUpdate update) {

    /** Returns where a configuration that this update leads to comes from. */
    ConfigurationSource source() {
        return ConfigurationSource.fromController(controllerId, update.revision());
    }
}
