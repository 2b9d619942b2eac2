package org.daisyscale.core.internal.entry;

import org.daisyscale.core.Moment;
import org.daisyscale.core.internal.suspect.SuspectRegistry;
import org.daisyscale.core.request.BackendOutcome;

/**
 * Decides whether and when a request is retried or hedged. A retry is safe only when the server provably did not run
 * the order or the kind is idempotent. The number of attempts and the backoff come from the document, within the retry
 * budget. Not thread-safe; confined to the core thread.
 */
final class RetryPolicy {
    private static final int MIN_ORDER_LIMIT_NOT_RUN = 3;

    private final SuspectRegistry suspects;
    private final RetryBudget budget = new RetryBudget();
    private final Backoff backoff;

    RetryPolicy(SuspectRegistry suspects, long seed) {
        this.suspects = suspects;
        this.backoff = new Backoff(seed);
    }

    void recordFirstAttempt(EntryRequest request) {
        budget.recordFirstAttempt(request.service());
    }

    /** Returns whether to retry after {@code outcome}; spends from the retry budget if so. */
    boolean mayRetry(EntryRequest request, BackendOutcome outcome, Moment now) {
        boolean isSafeToRetry = outcome.isNotRun() || request.kind().isIdempotent();
        boolean hasTime = request.remainingMillis(now.nanos()) > request.kind().backoffMillis();
        return isSafeToRetry
                && hasTime
                && !request.isAbandoned()
                && request.orderCount() < maxOrders(request, outcome)
                && !suspects.isRejected(request::digest, now)
                && budget.trySpend(request.service());
    }

    private static int maxOrders(EntryRequest request, BackendOutcome outcome) {
        int configured = request.kind().maxAttempts();
        return outcome.isNotRun() ? Math.max(configured, MIN_ORDER_LIMIT_NOT_RUN) : configured;
    }

    /** Returns whether a hedge may run beside the first order; spends from the retry budget if so. */
    boolean mayHedge(EntryRequest request) {
        return !request.isAbandoned() && budget.trySpend(request.service());
    }

    /** Returns the delay before the next attempt, in milliseconds. */
    long delayMillis(EntryRequest request) {
        return backoff.delayMillis(request.kind().backoffMillis(), request.orderCount());
    }
}
