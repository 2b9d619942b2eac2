package org.daisyscale.core.internal.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides how long requests of each priority may wait while a service is short of room. Answers demand above capacity,
 * where kinds with a long latency objective would fill the queues and kinds with a short one, however urgent, would be
 * refused. Not thread-safe; confined to the core thread.
 *
 * <p>Invariants: without a recent refusal for lack of room nothing is limited; the limit of a less urgent request is
 * below that of each more urgent kind, unless the less urgent kind is near starvation. Each router decides on its own
 * requests, so the invariants hold for all routers together.
 */
final class PriorityShares {
    /** How long a service counts as short of room after a refusal, in nanoseconds; about one burst of refusals. */
    private static final long SHORTAGE_NANOS = 1_000_000_000L;
    /** Fraction of the wait of more urgent kinds up to which a less urgent request may wait. */
    private static final double LESS_URGENT_FRACTION = 0.5;
    /** Admitted part, relative to the mean, below which a kind is not limited; a quarter is required. */
    private static final double STARVED_FRACTION = 0.4;

    private final Map<String, Service> services = new HashMap<>();

    /** Records whether {@code request}, whose latency should be at most {@code maxMillis}, was admitted. */
    void record(OpenRequest request, double maxMillis, boolean isAdmitted, long nowNanos) {
        Service service = services.computeIfAbsent(request.service(), name -> new Service());
        service.kinds
                .computeIfAbsent(request.priority(), priority -> new Kind())
                .record(maxMillis, isAdmitted, nowNanos);
        if (!isAdmitted) {
            service.isShort = true;
            service.refusedNanos = nowNanos;
        }
    }

    /**
     * Returns how long {@code request} may wait at a server that serves it in {@code serviceMillis}, in milliseconds;
     * {@code maxWaitMillis}, which its own objective allows, unless more urgent kinds limit it.
     */
    double limitMillis(OpenRequest request, double maxWaitMillis, double serviceMillis, long nowNanos) {
        Service service = services.get(request.service());
        if (service == null || !service.isShort(nowNanos) || service.isStarved(request.priority(), nowNanos)) {
            return maxWaitMillis;
        }
        double moreUrgentMillis = service.kinds.headMap(request.priority()).values().stream()
                .filter(kind -> kind.isRecent(nowNanos))
                .mapToDouble(kind -> Math.max(0, kind.maxMillis - serviceMillis))
                .min()
                .orElse(Double.MAX_VALUE);
        return Math.min(maxWaitMillis, moreUrgentMillis * LESS_URGENT_FRACTION);
    }

    /** The requests of one service. Not thread-safe. */
    private static final class Service {
        private final TreeMap<Integer, Kind> kinds = new TreeMap<>();
        private boolean isShort;
        private long refusedNanos;

        private boolean isShort(long nowNanos) {
            isShort = isShort && nowNanos - refusedNanos < SHORTAGE_NANOS;
            return isShort;
        }

        private boolean isStarved(int priority, long nowNanos) {
            Kind own = kinds.get(priority);
            double offered = 0;
            double admitted = 0;
            for (Kind kind : kinds.values()) {
                offered += kind.offered(nowNanos);
                admitted += kind.admitted(nowNanos);
            }
            return own != null
                    && own.admitted(nowNanos) * offered < STARVED_FRACTION * admitted * own.offered(nowNanos);
        }
    }

    /** The requests of one priority, weighted by their age. Not thread-safe. */
    private static final class Kind {
        /** Time constant of the weights, in nanoseconds; a shortage lasts for some seconds. */
        private static final double MEMORY_NANOS = 3e9;

        private double offered;
        private double admitted;
        private double maxMillis;
        private long recordedNanos;

        private void record(double newMaxMillis, boolean isAdmitted, long nowNanos) {
            offered = offered(nowNanos) + 1;
            admitted = admitted(nowNanos) + (isAdmitted ? 1 : 0);
            maxMillis = newMaxMillis;
            recordedNanos = nowNanos;
        }

        private boolean isRecent(long nowNanos) {
            return nowNanos - recordedNanos < MEMORY_NANOS;
        }

        private double offered(long nowNanos) {
            return offered * weight(nowNanos);
        }

        private double admitted(long nowNanos) {
            return admitted * weight(nowNanos);
        }

        private double weight(long nowNanos) {
            return Math.exp(-(nowNanos - recordedNanos) / MEMORY_NANOS);
        }
    }
}
