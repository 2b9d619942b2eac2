package org.daisyscale.router.internal.serving;

import java.util.ArrayList;
import java.util.List;
import org.daisyscale.core.following.ViewUpdate;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.router.internal.following.FollowPeers;

/** Records what a duty sends to other routers. Not thread-safe; confined to one thread. */
final class RecordingPeers implements FollowPeers {
    private final List<PeerMessage> sent = new ArrayList<>();
    private final List<PeerMessage> broadcasts = new ArrayList<>();
    private boolean isController;

    void setController(boolean isNowController) {
        isController = isNowController;
    }

    /** Returns the messages to single routers so far. */
    List<PeerMessage> sent() {
        return sent;
    }

    /** Returns the messages to all routers so far. */
    List<PeerMessage> broadcasts() {
        return broadcasts;
    }

    /** Returns what the router said so far about what it holds. */
    List<PeerMessage.ViewHeld> holdings() {
        return sent.stream()
                .filter(PeerMessage.ViewHeld.class::isInstance)
                .map(PeerMessage.ViewHeld.class::cast)
                .toList();
    }

    /** Returns the updates that were sent so far. */
    List<ViewUpdate> updates() {
        return sent.stream()
                .filter(PeerMessage.ViewUpdated.class::isInstance)
                .map(message -> ((PeerMessage.ViewUpdated) message).update())
                .toList();
    }

    @Override
    public boolean isController() {
        return isController;
    }

    @Override
    public int broadcast(PeerMessage message) {
        if (isController) {
            broadcasts.add(message);
        }
        return 0;
    }

    @Override
    public void send(String routerId, PeerMessage message) {
        sent.add(message);
    }
}
