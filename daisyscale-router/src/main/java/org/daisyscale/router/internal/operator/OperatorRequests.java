package org.daisyscale.router.internal.operator;

import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.document.Configuration;
import org.daisyscale.router.internal.ring.Ring;

/**
 * Submits operators' requests to the core and completes them with its answers. Each request is answered or fails once
 * its timeout has passed. Safe for use by several threads; {@link #answer} never blocks.
 */
public final class OperatorRequests {
    private static final long STATUS_TIMEOUT_MILLIS = 1_000;
    private static final long PROPOSAL_TIMEOUT_MILLIS = 4_000;

    private final Ring<Event> events;
    private final Map<String, CompletableFuture<Action>> pendingByRequestId = new ConcurrentHashMap<>();

    /** Creates an instance without pending requests that submits to {@code events}. */
    public OperatorRequests(Ring<Event> events) {
        this.events = events;
    }

    CompletableFuture<Action.AnswerStatus> requestStatus() {
        return submit(Event.StatusRequested::new, STATUS_TIMEOUT_MILLIS).thenApply(Action.AnswerStatus.class::cast);
    }

    CompletableFuture<Action.AnswerProposal> propose(Configuration configuration) {
        return submit(id -> new Event.ConfigurationProposed(id, configuration), PROPOSAL_TIMEOUT_MILLIS)
                .thenApply(Action.AnswerProposal.class::cast);
    }

    private CompletableFuture<Action> submit(Function<String, Event> eventForId, long timeoutMillis) {
        String requestId = UUID.randomUUID().toString();
        CompletableFuture<Action> answer = new CompletableFuture<>();
        pendingByRequestId.put(requestId, answer);
        if (!events.offer(eventForId.apply(requestId))) {
            answer.completeExceptionally(new IllegalStateException("the router's event queue is full"));
        }
        return answer.orTimeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .whenComplete((result, failure) -> pendingByRequestId.remove(requestId));
    }

    /** Completes the pending status request with the same id; does nothing if it has timed out. */
    public void answer(Action.AnswerStatus status) {
        complete(status.requestId(), status);
    }

    /** Completes the pending proposal with the same id; does nothing if it has timed out. */
    public void answer(Action.AnswerProposal proposal) {
        complete(proposal.requestId(), proposal);
    }

    private void complete(String requestId, Action answer) {
        CompletableFuture<Action> pending = pendingByRequestId.get(requestId);
        if (pending != null) {
            pending.complete(answer);
        }
    }
}
