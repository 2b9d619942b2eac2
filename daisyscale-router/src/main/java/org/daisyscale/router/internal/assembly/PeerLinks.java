package org.daisyscale.router.internal.assembly;

import org.daisyscale.core.Action;

/**
 * The connections to other routers. Implementations are thread-safe and never block in {@link #send} or
 * {@link #updatePeer}: newer state replaces older state that is still queued.
 */
public interface PeerLinks extends AutoCloseable {

    /** Sends a message; drops it if the peer is not connected. */
    void send(Action.SendPeer action);

    /** Updates a peer's address, or removes the peer. */
    void updatePeer(Action.KnowPeer action);

    @Override
    void close();
}
