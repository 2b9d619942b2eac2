package org.daisyscale.core.proof;

import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.request.RequestMeta;

/**
 * A caller's request at one router. Immutable except for the state of {@code listener}.
 *
 * @param id the router and its request id, separated by a slash
 * @param meta the request's metadata
 * @param listener receives the outcome
 */
record Submission(String id, RequestMeta meta, OutcomeListener listener) {

    /** Returns whether a rejection with {@code code} tells the caller that no server ran the request. */
    static boolean reportsNotRun(CoreErrorCode code) {
        return switch (code) {
            case OUTCOME_UNKNOWN, ALREADY_RAN, DUPLICATE_IN_PROGRESS, INVARIANT_BROKEN -> false;
            default -> true;
        };
    }

    /** Receives the outcome of a request. */
    interface OutcomeListener {
        /**
         * Receives the outcome: {@code "ANSWERED"}, the name of a {@link CoreErrorCode}, or null if the router was lost
         * or none accepts requests.
         */
        void onOutcome(String outcome);
    }
}
