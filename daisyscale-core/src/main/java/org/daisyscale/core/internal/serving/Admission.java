package org.daisyscale.core.internal.serving;

import java.util.Optional;
import org.daisyscale.core.error.CoreErrorCode;

/**
 * Rejects requests whose answer would be late, before they reach a server. An answer after the caller's deadline is
 * useless, and one far beyond the latency objective takes a slot from a request that could still meet it. This limits
 * the damage of bursts and retry storms. Not thread-safe; confined to the core thread.
 */
final class Admission {
    /** Fast service time as a fraction of the mean; a request that misses its deadline even so is rejected. */
    private static final double FAST_SERVICE_FRACTION = 0.7;

    private final PriorityShares shares = new PriorityShares();
    private final ReturnTimes returnTimes;

    Admission(FleetView fleet) {
        this.returnTimes = new ReturnTimes(fleet);
    }

    /**
     * Returns a rejection if {@code request} would have to wait for a slot of {@code view}'s server and its answer
     * would come after its deadline or later than {@code objectiveFraction} of its latency objective, or if the wait is
     * left to more urgent requests; empty otherwise.
     */
    Optional<Placement.Reject> rejection(
            OpenRequest request, ServerView view, double objectiveFraction, long nowNanos) {
        double waitMillis = view.waitMillis(nowNanos);
        double maxWaitMillis = maxWaitMillis(request, view, objectiveFraction, nowNanos);
        double limitMillis = shares.limitMillis(request, maxWaitMillis, view.serviceMillis(nowNanos), nowNanos);
        boolean isAdmitted = waitMillis == 0 || waitMillis <= limitMillis;
        shares.record(request, request.route().targetLatencyMillis() * objectiveFraction, isAdmitted, nowNanos);
        if (isAdmitted) {
            return Optional.empty();
        }
        String detail = "server=%s busy=%.1f waitMillis=%.0f maxWaitMillis=%.0f priority=%d"
                .formatted(
                        view.server().id(),
                        view.inFlightEstimate(nowNanos),
                        waitMillis,
                        maxWaitMillis,
                        request.priority());
        long retryAfterMillis = returnTimes.adviceMillis(request, view, waitMillis - limitMillis, nowNanos);
        return Optional.of(Placement.Reject.scheduled(CoreErrorCode.OVERLOADED, detail, retryAfterMillis));
    }

    /** Returns how long {@code request} may wait so that its answer is in time, in milliseconds. */
    private static double maxWaitMillis(OpenRequest request, ServerView view, double objectiveFraction, long nowNanos) {
        double objectiveMillis = request.route().targetLatencyMillis() * objectiveFraction;
        double serviceMillis = view.serviceMillis(nowNanos);
        return Math.min(
                objectiveMillis - request.ageMillis(nowNanos) - serviceMillis,
                request.timeLeftMillis(nowNanos) - serviceMillis * FAST_SERVICE_FRACTION);
    }
}
