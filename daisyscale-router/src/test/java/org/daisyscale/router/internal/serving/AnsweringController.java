package org.daisyscale.router.internal.serving;

import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.router.internal.following.FollowEvent;
import org.daisyscale.router.internal.following.FollowPeers;
import org.daisyscale.router.internal.ring.Ring;

/** The controller, which reads what was written and sends events to the router under test. Thread-safe. */
final class AnsweringController implements FollowPeers {
    private final ControllerView view;
    private final Ring<FollowEvent> events;
    private final boolean isAnswering;

    /** Creates a controller that answers what the router says that it holds only if {@code isAnswering}. */
    AnsweringController(ControllerView view, Ring<FollowEvent> events, boolean isAnswering) {
        this.view = view;
        this.events = events;
        this.isAnswering = isAnswering;
    }

    /** Sends {@code event}, which is lost if the ring of the router is full. */
    void send(FollowEvent event) {
        events.offer(event);
    }

    /** Reads {@code items} at {@code revision} and sends what changed since {@code fromRevision}. */
    synchronized void sendDifference(long fromRevision, long revision, Item... items) {
        view.list(revision, items);
        send(view.updateFrom(fromRevision));
    }

    /** Reads {@code items} at {@code revision} and reports that. */
    synchronized void read(long revision, Item... items) {
        view.list(revision, items);
        send(view.report());
    }

    @Override
    public boolean isController() {
        return false;
    }

    @Override
    public int broadcast(PeerMessage message) {
        return 0;
    }

    @Override
    public synchronized void send(String routerId, PeerMessage message) {
        boolean isAnswered = isAnswering
                && message instanceof PeerMessage.ViewHeld held
                && !held.version().hasSameItems(view.version());
        if (isAnswered) {
            PeerMessage.ViewHeld held = (PeerMessage.ViewHeld) message;
            send(view.answer(held.version(), held.needsWhole()));
        }
    }
}
