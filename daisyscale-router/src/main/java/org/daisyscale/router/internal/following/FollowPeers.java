package org.daisyscale.router.internal.following;

import org.daisyscale.core.peer.PeerMessage;

/** The other routers, as the duty that follows a prefix sees them. Implementations are thread-safe and do not block. */
public interface FollowPeers {

    /** Returns whether this router is the controller, as far as it knows. */
    boolean isController();

    /** Sends {@code message} to all connected routers if this router is the controller; returns their number. */
    int broadcast(PeerMessage message);

    /** Sends {@code message} to {@code routerId}; without a connection the message is lost. */
    void send(String routerId, PeerMessage message);
}
