package org.daisyscale.core.internal.control;

import org.daisyscale.core.internal.Outbox;
import org.daisyscale.core.internal.membership.Roster;
import org.daisyscale.core.peer.PeerMessage;

/**
 * Sends messages to the controller, or to every router while the controller is unknown. Not thread-safe; confined to
 * the core thread.
 */
public final class ControllerLink {
    private final String routerId;
    private final Leadership leadership;
    private final Roster roster;

    /** Creates the link of the router {@code routerId}. */
    public ControllerLink(String routerId, Leadership leadership, Roster roster) {
        this.routerId = routerId;
        this.leadership = leadership;
        this.roster = roster;
    }

    /** Returns the id of the router that messages are sent to; empty while the controller is unknown. */
    public String controller() {
        return leadership.holder();
    }

    /** Sends {@code message} once, without confirmation. The caller repeats it until it has taken effect. */
    public void send(PeerMessage message, Outbox out) {
        if (!leadership.holder().isEmpty()) {
            out.send(leadership.holder(), message);
            return;
        }
        out.send(routerId, message);
        roster.peers().forEach(peer -> out.send(peer, message));
    }
}
