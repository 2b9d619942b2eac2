package org.daisyscale.core.internal.serving;

import java.util.Optional;
import org.daisyscale.core.error.CoreErrorCode;

/**
 * Rejects requests whose answer would be late, before they reach a server. An answer after the caller's deadline is
 * useless, and one far beyond the latency objective takes a slot from a request that could still meet it. This limits
 * the damage of bursts and retry storms. Stateless.
 */
final class Admission {
    /** Fast service time as a fraction of the mean; a request that misses its deadline even so is rejected. */
    private static final double FAST_SERVICE_FRACTION = 0.7;
    /** Minimum retry-after advice, in milliseconds; about one service time. */
    private static final double MIN_RETRY_AFTER_MILLIS = 100;

    private Admission() {}

    /**
     * Returns a rejection if {@code request} would have to wait for a slot of {@code view}'s server and its answer
     * would come after its deadline or later than {@code objectiveFraction} of its latency objective; empty otherwise.
     */
    static Optional<Placement.Reject> rejection(
            OpenRequest request, ServerView view, double objectiveFraction, long nowNanos) {
        double waitMillis = view.waitMillis(nowNanos);
        double expectedMillis = waitMillis + view.serviceMillis(nowNanos);
        double objectiveMillis = request.route().targetLatencyMillis() * objectiveFraction;
        boolean missesDeadline =
                waitMillis + view.serviceMillis(nowNanos) * FAST_SERVICE_FRACTION > request.timeLeftMillis(nowNanos);
        boolean isLate = missesDeadline || request.ageMillis(nowNanos) + expectedMillis > objectiveMillis;
        if (waitMillis == 0 || !isLate) {
            return Optional.empty();
        }
        String detail = "server=%s busy=%.1f expectedMillis=%.0f"
                .formatted(view.server().id(), view.inFlightEstimate(nowNanos), expectedMillis);
        long retryAfterMillis = (long) Math.max(MIN_RETRY_AFTER_MILLIS, waitMillis);
        return Optional.of(new Placement.Reject(CoreErrorCode.OVERLOADED, detail, retryAfterMillis));
    }
}
