package org.daisyscale.core.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.peer.PeerMessage;

/**
 * Collects the actions that follow from one event, in order. A message that the router sends to itself is not emitted
 * as an action; it is delivered as an event. Not thread-safe; confined to the core thread.
 */
public final class Outbox {
    private final String routerId;
    private final Deque<Event> loopback = new ArrayDeque<>();
    private List<Action> actions = new ArrayList<>();

    /** Creates an empty outbox for the router {@code routerId}. */
    public Outbox(String routerId) {
        this.routerId = routerId;
    }

    /** Appends {@code action}. */
    public void emit(Action action) {
        actions.add(action);
    }

    /** Sends {@code message} to the router {@code to}, which may be this router. */
    public void send(String to, PeerMessage message) {
        if (to.equals(routerId)) {
            loopback.add(new Event.PeerMessageReceived(routerId, message));
        } else {
            actions.add(new Action.SendPeer(to, message));
        }
    }

    /** Reports an event that is relevant to operators; see {@link Action.Report}. */
    public void report(String name, String detail) {
        actions.add(new Action.Report(name, detail));
    }

    /** Reports a violated invariant that would break {@code promise} of docs/PROOFS.md if the process continued. */
    public void reportInvariantBroken(int promise, String detail) {
        actions.add(new Action.InvariantBroken(promise, detail, true));
    }

    /** Removes and returns the next message that this router sent to itself. */
    public Optional<Event> nextLoopback() {
        return Optional.ofNullable(loopback.poll());
    }

    /** Removes and returns all collected actions. */
    public List<Action> drain() {
        List<Action> drained = actions;
        actions = new ArrayList<>();
        return drained;
    }
}
