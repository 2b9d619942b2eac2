package org.daisyscale.core.internal.serving;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.serving.Route;

/**
 * Sends a request to the server with the shortest expected latency, and to none in a slow moment while another of its
 * data centre is free. Failures increase the expected latency of a server;
 * a cold server gets requests only within its quota, and an unresponsive one only while at most one of this router's
 * requests is in flight there. Not thread-safe; confined to the core thread.
 */
final class ShortestWaitPlacer implements Placer {
    /** Weight of the failure ratio in the expected latency; failing half the requests triples the latency. */
    private static final double FAILURE_WEIGHT = 4;
    /** Penalty of a server in another data centre, in milliseconds; the round trip between data centres. */
    private static final double REMOTE_PENALTY_MILLIS = 5;
    /** Penalty per kilobyte of both bodies, in milliseconds; links between data centres are shared and charged for. */
    private static final double REMOTE_PENALTY_MILLIS_PER_KB = 1;
    /** Jitter range as a fraction of each estimate, so that routers with the same view don't pick the same server. */
    private static final double JITTER_FRACTION = 0.2;
    /** Retry-after advice when no server is usable, in milliseconds. */
    private static final long NO_SERVER_RETRY_AFTER_MILLIS = 500;

    /** Below 1: if even the best server has a queue, all have one, and longer queues would make all requests late. */
    private static final double OBJECTIVE_FRACTION = 0.9;

    private final FleetView fleet;
    private final ResponseSizes responseSizes = new ResponseSizes();
    private final UniformRandomProvider random;

    ShortestWaitPlacer(FleetView fleet, UniformRandomProvider random) {
        this.fleet = fleet;
        this.random = random;
    }

    @Override
    public Placement place(OpenRequest request, long nowNanos) {
        List<ServerView> usable = fleet.servers().ofService(request.service()).stream()
                .filter(view -> isUsable(view, request, nowNanos))
                .toList();
        return cheapest(usable, request, nowNanos)
                .map(best -> best.isSlow(nowNanos) ? steadyInstead(best, usable, request, nowNanos) : best)
                .<Placement>map(Placement.Send::new)
                .orElseGet(() -> placeWithoutUsableServer(request, nowNanos));
    }

    /** Returns a free server in the data centre of {@code slow} that is in no slow moment; {@code slow} for none. */
    private ServerView steadyInstead(ServerView slow, List<ServerView> usable, OpenRequest request, long nowNanos) {
        List<ServerView> steady = usable.stream()
                .filter(view -> !view.isSlow(nowNanos) && view.waitMillis(nowNanos) == 0)
                .filter(view -> view.server().dataCentre().equals(slow.server().dataCentre()))
                .toList();
        return cheapest(steady, request, nowNanos).orElse(slow);
    }

    private Optional<ServerView> cheapest(List<ServerView> views, OpenRequest request, long nowNanos) {
        ServerView best = null;
        double bestMillis = Double.MAX_VALUE;
        for (ServerView view : views) {
            double millis = expectedMillis(view, request, nowNanos);
            if (millis < bestMillis) {
                best = view;
                bestMillis = millis;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Records the size of a response, whose cost later requests for {@code route} count. */
    void recordResponse(Route route, long bytes) {
        responseSizes.record(route, bytes);
    }

    @Override
    public double objectiveFraction() {
        return OBJECTIVE_FRACTION;
    }

    private Placement placeWithoutUsableServer(OpenRequest request, long nowNanos) {
        long nextAllowedNanos = fleet.servers().ofService(request.service()).stream()
                .filter(view -> isReachable(view, request, nowNanos))
                .mapToLong(view -> view.coldStartLimiter().nextAllowedNanos(nowNanos, fleet.coldQuota(view, nowNanos)))
                .min()
                .orElse(Long.MAX_VALUE);
        if (nextAllowedNanos == Long.MAX_VALUE) {
            return new Placement.Reject(
                    CoreErrorCode.NO_SERVER, "service=" + request.service(), retryAfterMillis(request, nowNanos));
        }
        return new Placement.Wait(
                nextAllowedNanos, CoreErrorCode.OVERLOADED, (nextAllowedNanos - nowNanos) / 1_000_000L);
    }

    /** Returns when a server may be usable again: when the first pause ends, or after a while. */
    private long retryAfterMillis(OpenRequest request, long nowNanos) {
        return fleet.servers().ofService(request.service()).stream()
                .filter(view -> !fleet.isLeaving(view))
                .mapToLong(view -> fleet.notices().pauseLeftMillis(view.server(), nowNanos))
                .filter(leftMillis -> leftMillis > 0)
                .min()
                .orElse(NO_SERVER_RETRY_AFTER_MILLIS);
    }

    private boolean isReachable(ServerView view, OpenRequest request, long nowNanos) {
        return !fleet.isLeaving(view)
                && fleet.notices().pauseLeftMillis(view.server(), nowNanos) == 0
                && !fleet.servers().isEvacuated(view)
                && !view.isPaused(nowNanos)
                && !request.hasTried(view);
    }

    private boolean isUsable(ServerView view, OpenRequest request, long nowNanos) {
        return isReachable(view, request, nowNanos)
                && view.coldStartLimiter().allowsRequest(nowNanos, fleet.coldQuota(view, nowNanos))
                && !(view.isUnresponsive(nowNanos) && view.ownInFlightCount() > 1);
    }

    private double expectedMillis(ServerView view, OpenRequest request, long nowNanos) {
        double jitter = 1 + JITTER_FRACTION * (random.nextDouble() - 0.5);
        double millis = (view.waitMillis(nowNanos) + view.serviceMillis(nowNanos)) * jitter;
        boolean isLocal = view.server().dataCentre().equals(fleet.settings().dataCentre());
        double costMillis = isLocal ? millis : remoteMillis(millis, request, nowNanos);
        return costMillis * (1 + FAILURE_WEIGHT * view.failureRatio());
    }

    /**
     * Returns the cost of a server in another data centre. The cost of the bytes stops below the latency at which a
     * local server would refuse the request, whatever the jitter of the local estimate.
     */
    private double remoteMillis(double millis, OpenRequest request, long nowNanos) {
        double kilobytes = (request.head().bodyBytes() + responseSizes.meanBytes(request.route())) / 1_000;
        double nearestMillis = millis + REMOTE_PENALTY_MILLIS;
        double acceptedMillis =
                request.route().targetLatencyMillis() * OBJECTIVE_FRACTION - request.ageMillis(nowNanos);
        return Math.max(
                nearestMillis,
                Math.min(
                        acceptedMillis * (1 - JITTER_FRACTION / 2),
                        nearestMillis + kilobytes * REMOTE_PENALTY_MILLIS_PER_KB));
    }
}
