package org.daisyscale.core.internal.serving;

import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.serving.ServingAction;

/** The decision where a request goes now. Immutable. */
sealed interface Placement {

    /** Sends the request to {@code view}'s server now. */
    record Send(ServerView view) implements Placement {}

    /**
     * Postpones the request because of a condition that ends soon.
     *
     * @param retryNanos when to place the request again, by the monotonic clock
     * @param reason the code for a rejection if the request can't wait that long
     * @param retryAfterMillis the retry-after advice of that rejection, in milliseconds
     */
    record Wait(long retryNanos, CoreErrorCode reason, long retryAfterMillis) implements Placement {}

    /**
     * Rejects the request.
     *
     * @param reason the error code
     * @param detail the circumstances, for the log
     * @param retryAfterMillis the retry-after advice, in milliseconds; 0 for none
     * @param isScheduled whether the advice differs from caller to caller already, so that it needs no jitter
     */
    record Reject(CoreErrorCode reason, String detail, long retryAfterMillis, boolean isScheduled)
            implements Placement {

        /** Creates a rejection whose advice is the same for other callers. */
        Reject(CoreErrorCode reason, String detail, long retryAfterMillis) {
            this(reason, detail, retryAfterMillis, false);
        }

        /** Creates a rejection whose advice is meant for this caller. */
        static Reject scheduled(CoreErrorCode reason, String detail, long retryAfterMillis) {
            return new Reject(reason, detail, retryAfterMillis, true);
        }

        /** Returns the action that rejects the request {@code requestId} with exactly this advice. */
        ServingAction.Reject forRequest(long requestId) {
            return new ServingAction.Reject(requestId, reason, detail, retryAfterMillis);
        }
    }
}
