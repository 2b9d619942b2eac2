package org.daisyscale.core.internal.serving;

import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.daisyscale.core.error.CoreErrorCode;

/**
 * Sends a request to the server that should answer first. Answers uneven, slow, failing and cold servers: failures make
 * a server look slower, cold and silent ones get what they can bear. Owned by the thread that owns the core.
 */
final class ShortestWaitPlacer implements Placer {
    /** How much each failure share adds to the expected time: a server that fails half looks three times slower. */
    private static final double FAILURE_WEIGHT = 4;
    /** What a server in another data centre must be faster by, in milliseconds: the way there and back. */
    private static final double OTHER_DATA_CENTRE_MILLIS = 5;
    /** The same for each kilobyte of the body, in milliseconds: links between data centres are shared and priced. */
    private static final double OTHER_DATA_CENTRE_MILLIS_PER_KB = 1;
    /** Random part of each estimate, so that routers with the same view don't pick the same server. */
    private static final double JITTER_PART = 0.2;
    /** When no server can be used, callers come back about this much later, in milliseconds. */
    private static final long NO_SERVER_MILLIS = 500;

    /** Where the best server has a queue all have: waiting longer would only make everybody late. */
    private static final double OBJECTIVE_PART = 0.9;

    private final FleetView fleet;
    private final UniformRandomProvider random;

    ShortestWaitPlacer(FleetView fleet, UniformRandomProvider random) {
        this.fleet = fleet;
        this.random = random;
    }

    @Override
    public Placement place(OpenRequest request, long nowNanos) {
        ServerView best = null;
        double bestMillis = Double.MAX_VALUE;
        for (ServerView view : fleet.servers().ofService(request.service())) {
            double millis =
                    isUsable(view, request, nowNanos) ? expectedMillis(view, request, nowNanos) : Double.MAX_VALUE;
            if (millis < bestMillis) {
                best = view;
                bestMillis = millis;
            }
        }
        return Optional.ofNullable(best)
                .<Placement>map(Placement.Send::new)
                .orElseGet(() -> whenNoneIsUsable(request, nowNanos));
    }

    @Override
    public double objectivePart() {
        return OBJECTIVE_PART;
    }

    private Placement whenNoneIsUsable(OpenRequest request, long nowNanos) {
        long opensNanos = fleet.servers().ofService(request.service()).stream()
                .filter(view -> isReachable(view, request, nowNanos))
                .mapToLong(view -> view.coldGate().opensNanos(nowNanos, fleet.coldShare(view, nowNanos)))
                .min()
                .orElse(Long.MAX_VALUE);
        if (opensNanos == Long.MAX_VALUE) {
            return new Placement.Refuse(CoreErrorCode.NO_SERVER, "service=" + request.service(), NO_SERVER_MILLIS);
        }
        return new Placement.Wait(opensNanos, CoreErrorCode.OVERLOADED, (opensNanos - nowNanos) / 1_000_000L);
    }

    private boolean isReachable(ServerView view, OpenRequest request, long nowNanos) {
        return !view.isLeaving()
                && !fleet.servers().isEvacuated(view)
                && !view.isPaused(nowNanos)
                && !request.hasTried(view);
    }

    private boolean isUsable(ServerView view, OpenRequest request, long nowNanos) {
        return isReachable(view, request, nowNanos)
                && view.coldGate().isOpen(nowNanos, fleet.coldShare(view, nowNanos))
                && !(view.isSilent(nowNanos) && view.ownCount() > 1);
    }

    private double expectedMillis(ServerView view, OpenRequest request, long nowNanos) {
        double millis = view.waitMillis(nowNanos) + view.serviceMillis();
        boolean isHere = view.server().dataCentre().equals(fleet.settings().dataCentre());
        double away = isHere
                ? 0
                : OTHER_DATA_CENTRE_MILLIS + request.head().bodyBytes() / 1_000.0 * OTHER_DATA_CENTRE_MILLIS_PER_KB;
        double jitter = 1 + JITTER_PART * (random.nextDouble() - 0.5);
        return (millis * jitter + away) * (1 + FAILURE_WEIGHT * view.failureShare());
    }
}
