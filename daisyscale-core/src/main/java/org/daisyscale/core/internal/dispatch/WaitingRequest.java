package org.daisyscale.core.internal.dispatch;

import org.daisyscale.core.document.RequestKind;
import org.daisyscale.core.peer.PeerMessage;

/**
 * A request that waits for a permit. Immutable.
 *
 * @param router the entry router
 * @param permitRequest the entry router's message
 * @param kind the kind of request
 * @param arrivedNanos when the dispatcher received it, on the monotonic clock, in nanoseconds
 * @param deadlineNanos when the answer is due, on the monotonic clock, in nanoseconds
 */
record WaitingRequest(
        String router,
        PeerMessage.PermitRequest permitRequest,
        RequestKind kind,
        long arrivedNanos,
        long deadlineNanos) {
    private static final long NANOS_PER_MICRO = 1_000L;

    /** Returns the permit request's id, unique over all entry routers. */
    String id() {
        return idOf(router, permitRequest.requestId());
    }

    static String idOf(String router, String permitRequestId) {
        return router + "/" + permitRequestId;
    }

    /** Returns the id of the entry router's request, the same for each of its permit requests. */
    String entryRequest() {
        return router + "/" + PermitRequestId.requestOf(permitRequest.requestId());
    }

    String callerId() {
        return permitRequest.callerId();
    }

    /** Returns whether the ledger records the request's idempotency key. */
    boolean isTracked() {
        return !kind.isIdempotent() && !permitRequest.idempotencyKey().isEmpty();
    }

    long remainingMicros(long nowNanos) {
        return (deadlineNanos - nowNanos) / NANOS_PER_MICRO;
    }
}
