package org.daisyscale.core.internal.dispatch;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.daisyscale.core.Moment;
import org.daisyscale.core.request.BackendOutcome;

/**
 * Tracks one backend server by its dispatcher's own measurements: the orders in flight, the concurrency limit, and
 * whether the server is slower than the mean for the kinds of request it runs. Not thread-safe; confined to the core
 * thread.
 */
final class ServerTracker {
    private static final double STRAGGLER_RATIO = 3.0;
    private static final double STRAGGLER_AGE_RATIO = 8.0;
    private static final double NORMAL_RATIO = 1.0;
    private static final double SMOOTHING_FACTOR = 0.2;
    private static final long NANOS_PER_MICRO = 1_000L;
    private static final long STRAGGLER_PROBE_INTERVAL_NANOS = 100_000_000L;

    private final String server;
    private final ColdStartRamp ramp;
    private final ServiceTimes times;
    private final Map<String, OutstandingPermit> outstanding = new LinkedHashMap<>();
    private final Map<String, Integer> runningByRouter = new HashMap<>();
    private String incarnation = "";
    private double slownessRatio = NORMAL_RATIO;
    private long lastSentNanos = Long.MIN_VALUE;
    private double answeredCount;

    ServerTracker(String server, int slotCount, ServiceTimes times) {
        this.server = server;
        this.ramp = new ColdStartRamp(slotCount);
        this.times = times;
    }

    String server() {
        return server;
    }

    /** Records the incarnation of the server process; a new incarnation is cold. */
    void recordIncarnation(String current) {
        if (!current.equals(incarnation)) {
            incarnation = current;
            slownessRatio = NORMAL_RATIO;
            ramp.recordColdStart();
        }
    }

    void begin(OutstandingPermit permit, Moment now) {
        outstanding.put(permit.permit().orderId(), permit);
        runningByRouter.merge(permit.request().router(), 1, Integer::sum);
        lastSentNanos = now.nanos();
    }

    void end(OutstandingPermit permit, BackendOutcome outcome, long serviceMicros) {
        outstanding.remove(permit.permit().orderId());
        runningByRouter.merge(permit.request().router(), -1, Integer::sum);
        if (outcome == BackendOutcome.ANSWERED) {
            recordAnswer(permit.request().permitRequest().kind(), serviceMicros);
        } else if (outcome == BackendOutcome.SHED || outcome == BackendOutcome.CONNECTION_LOST) {
            ramp.recordColdStart();
        } else if (outcome == BackendOutcome.TIMED_OUT) {
            recordTimeout(permit.request().permitRequest().kind(), serviceMicros);
        }
    }

    /**
     * Records an order without an answer. Its running time is a lower bound of its service time. An order whose running
     * time is unknown (0) marks the server as a straggler.
     */
    private void recordTimeout(String kind, long ranMicros) {
        if (ranMicros == 0) {
            slownessRatio = Math.max(slownessRatio, STRAGGLER_RATIO);
        } else {
            updateSlowness(Math.max(slownessRatio, ranMicros / Math.max(1, times.meanMicros(kind))));
        }
    }

    private void updateSlowness(double ratio) {
        slownessRatio += SMOOTHING_FACTOR * (ratio - slownessRatio);
    }

    private void recordAnswer(String kind, long serviceMicros) {
        double ratio = serviceMicros / Math.max(1, times.meanMicros(kind));
        updateSlowness(ratio);
        times.add(kind, serviceMicros);
        ramp.recordSuccess();
        answeredCount++;
    }

    int running() {
        return outstanding.size();
    }

    int runningFor(String router) {
        return runningByRouter.getOrDefault(router, 0);
    }

    int limit() {
        return ramp.limit();
    }

    boolean hasFreeSlot() {
        return running() < ramp.limit();
    }

    /** Returns whether the server is slow, by its recent answers or by the age of its oldest order in flight. */
    boolean isStraggling(Moment now) {
        return slownessRatio >= STRAGGLER_RATIO || oldestAgeRatio(now) >= STRAGGLER_AGE_RATIO;
    }

    private double oldestAgeRatio(Moment now) {
        if (outstanding.isEmpty()) {
            return 0;
        }
        OutstandingPermit oldest = outstanding.values().iterator().next();
        double ageMicros = (double) (now.nanos() - oldest.issuedNanos()) / NANOS_PER_MICRO;
        return ageMicros
                / Math.max(1, times.meanMicros(oldest.request().permitRequest().kind()));
    }

    /** Returns whether a straggler may get one request, as a probe of whether it has recovered. */
    boolean isProbeDue(Moment now) {
        return running() == 0 && now.nanos() - lastSentNanos >= STRAGGLER_PROBE_INTERVAL_NANOS;
    }

    /** Returns the number of answers since the last call. */
    double takeAnsweredCount() {
        double taken = answeredCount;
        answeredCount = 0;
        return taken;
    }
}
