package org.daisyscale.core.internal.keys;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.daisyscale.core.keys.KeyLoad;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyMap;

/**
 * Tracks the load of one service: exponentially decayed request rates by key and a moving average of each server's
 * service time. Not thread-safe; confined to the core thread.
 */
final class LoadTracker {
    /**
     * Time constant of the decay, in milliseconds. Hot keys change within seconds; a shorter time would leave too few
     * requests to tell load from noise.
     */
    private static final double DECAY_MILLIS = 2_000;
    /** Least weight of one report in a server's average service time: about the last thirty reports count. */
    private static final double MIN_SAMPLE_WEIGHT = 0.03;
    /** Reports that the prior of a server's average counts for: about one second of them from several routers. */
    private static final int PRIOR_REPORTS = 8;
    /**
     * Exponent that favours fast servers while servers are idle, when latency is mostly service time and hardly
     * queueing. The effective exponent falls to 0 at full load, where servers share the load by capacity.
     */
    private static final double FAST_SERVER_EXPONENT = 1.2;
    /** Service time assumed while no server was reported, in milliseconds. */
    private static final double DEFAULT_SERVICE_MILLIS = 150;

    /** Baseline rate of all keys of a service together, in requests per second: only breaks ties. */
    private static final double TOTAL_BASELINE_RATE = 1;

    /** Counts are scaled down once the scale exceeds this, before they leave the range of a double. */
    private static final double MAX_SCALE = 1e100;

    /**
     * Decayed request counts by key, multiplied by {@code scale}. Decay raises the scale and leaves the counts as they
     * are.
     */
    private final double[] scaledCountByKey = new double[KeyMap.KEY_COUNT];

    private final Map<String, MovingAverage> serviceMillisByServer = new HashMap<>();
    private long decayedNanos;
    private long startedNanos;
    private boolean isStarted;
    private double scale = 1;

    /** Records the requests and service times that a router reported. Ignores keys out of range. */
    void add(KeyLoad load, long nowNanos) {
        decayTo(nowNanos);
        load.keys().stream()
                .filter(key -> 0 <= key && key < KeyMap.KEY_COUNT)
                .forEach(key -> scaledCountByKey[key] += scale);
        load.serviceMillisByServer()
                .forEach((server, millis) -> serviceMillisByServer
                        .computeIfAbsent(server, id -> new MovingAverage(meanServiceMillis()))
                        .add(millis));
    }

    /** Decays all counts up to {@code nowNanos}. */
    void decayTo(long nowNanos) {
        if (!isStarted) {
            isStarted = true;
            startedNanos = nowNanos;
            decayedNanos = nowNanos;
        }
        scale *= Math.exp((nowNanos - decayedNanos) / 1e6 / DECAY_MILLIS);
        decayedNanos = nowNanos;
        if (scale > MAX_SCALE) {
            scaleDown();
        }
    }

    private void scaleDown() {
        for (int key = 0; key < KeyMap.KEY_COUNT; key++) {
            scaledCountByKey[key] /= scale;
        }
        scale = 1;
    }

    /** Returns the effective length of the decay window in seconds; short at first, while nothing has decayed. */
    double windowSeconds() {
        double passedMillis = Math.max(1, (decayedNanos - startedNanos) / 1e6);
        return DECAY_MILLIS * (1 - Math.exp(-passedMillis / DECAY_MILLIS)) / 1_000;
    }

    /** Returns the requests per second for {@code key}. */
    double rate(int key) {
        return scaledCountByKey[key] / scale / windowSeconds();
    }

    /** Returns the requests per second for {@code key} plus its baseline, so that idle keys are spread too. */
    double rateWithBaseline(int key) {
        return rate(key) + TOTAL_BASELINE_RATE / KeyMap.KEY_COUNT;
    }

    /** Returns the requests per second for a range plus its baseline. */
    double rateWithBaseline(KeyAssignment assignment) {
        return rate(assignment) + TOTAL_BASELINE_RATE * assignment.keyCount() / KeyMap.KEY_COUNT;
    }

    /** Returns the requests per second for the keys from {@code firstKey} to {@code lastKey}, inclusive. */
    double rate(int firstKey, int lastKey) {
        double sum = 0;
        for (int key = firstKey; key <= lastKey; key++) {
            sum += scaledCountByKey[key];
        }
        return sum / scale / windowSeconds();
    }

    double rate(KeyAssignment assignment) {
        return rate(assignment.firstKey(), assignment.lastKey());
    }

    /** Returns the key of {@code assignment} with the most requests. */
    int hottestKey(KeyAssignment assignment) {
        int hottest = assignment.firstKey();
        for (int key = assignment.firstKey() + 1; key <= assignment.lastKey(); key++) {
            hottest = scaledCountByKey[key] > scaledCountByKey[hottest] ? key : hottest;
        }
        return hottest;
    }

    /** Returns the capacity of {@code server} in requests per second. */
    double capacity(BackendServer server) {
        return server.slots() * 1_000 / serviceMillis(server);
    }

    private double serviceMillis(BackendServer server) {
        MovingAverage mean = serviceMillisByServer.get(server.id());
        return mean == null ? meanServiceMillis() : mean.millis;
    }

    /**
     * Returns the rates by which {@code servers} should share the load, in requests per second by server id. Their sum
     * is the total capacity. The lower the utilization, the more of it the fast servers get.
     */
    Map<String, Double> weightedCapacities(List<BackendServer> servers) {
        double capacity = servers.stream().mapToDouble(this::capacity).sum();
        double utilization = Math.min(1, rate(0, KeyMap.KEY_COUNT - 1) / Math.max(1, capacity));
        double exponent = FAST_SERVER_EXPONENT * (1 - utilization);
        Map<String, Double> weights = new HashMap<>();
        servers.forEach(server ->
                weights.put(server.id(), capacity(server) * Math.pow(1_000 / serviceMillis(server), exponent)));
        double sum = weights.values().stream().mapToDouble(Double::doubleValue).sum();
        weights.replaceAll((id, weight) -> weight * capacity / sum);
        return weights;
    }

    private double meanServiceMillis() {
        return serviceMillisByServer.values().stream()
                .mapToDouble(mean -> mean.millis)
                .average()
                .orElse(DEFAULT_SERVICE_MILLIS);
    }

    /** A moving average that starts from a prior, so that a few quick answers don't make a server look fast. */
    private static final class MovingAverage {
        private double millis;
        private int count = PRIOR_REPORTS;

        private MovingAverage(double priorMillis) {
            millis = priorMillis;
        }

        private void add(double sample) {
            count++;
            millis += Math.max(MIN_SAMPLE_WEIGHT, 1.0 / count) * (sample - millis);
        }
    }
}
