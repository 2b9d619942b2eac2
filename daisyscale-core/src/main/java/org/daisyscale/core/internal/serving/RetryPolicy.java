package org.daisyscale.core.internal.serving;

import org.daisyscale.core.serving.AttemptOutcome;
import org.daisyscale.core.serving.ServingEvent;

/**
 * Decides whether a request is sent once more after an attempt that was not answered.
 *
 * <p>Invariants: a request that isn't idempotent is repeated only if no server may have run it. Repeats that reach
 * servers are paid for from the {@link RetryBudget}.
 *
 * <p>Not thread-safe; confined to the core thread.
 */
final class RetryPolicy {
    /** Attempts of one request at the owner of its key while that sheds at random. */
    private static final int MAX_ATTEMPTS_AT_OWNER = 3;

    private final FleetView fleet;
    private final RetryBudget retryBudget;
    private final LostRequests lostRequests;

    RetryPolicy(FleetView fleet, RetryBudget retryBudget, LostRequests lostRequests) {
        this.fleet = fleet;
        this.retryBudget = retryBudget;
        this.lostRequests = lostRequests;
    }

    /** Returns whether the server rejected the request as full although it reports room: it sheds at random. */
    static boolean isShedAtRandom(ServingEvent.AttemptEnded ended) {
        return ended.outcome() == AttemptOutcome.REFUSED_FULL
                && ended.load().filter(load -> load.waitingCount() == 0).isPresent();
    }

    /** Returns whether {@code request} is sent once more, and if so spends what that costs. */
    boolean mayRetry(OpenRequest request, ServingEvent.AttemptEnded ended, boolean isKeyed, long nowNanos) {
        AttemptOutcome outcome = ended.outcome();
        if (request.mayHaveRun() && !request.route().isIdempotent()) {
            return false;
        }
        if (!outcome.reachedServer()) {
            return outcome != AttemptOutcome.EXPIRED;
        }
        if (isKeyed && outcome == AttemptOutcome.REFUSED_FULL && !mayRepeatAtOwner(request, ended)) {
            return false;
        }
        return request.triedCount() < request.route().maxBackends()
                && lostRequests.mayRepeat(request.fingerprint(), nowNanos)
                && retryBudget.trySpend(request.service(), fleet.ownFraction(nowNanos), nowNanos);
    }

    /** Returns whether the owner of the key, which rejected the request as full, may take it now. */
    private static boolean mayRepeatAtOwner(OpenRequest request, ServingEvent.AttemptEnded ended) {
        return isShedAtRandom(ended)
                && ended.notice().pauseMillis() == 0
                && request.attemptCount() < MAX_ATTEMPTS_AT_OWNER;
    }
}
