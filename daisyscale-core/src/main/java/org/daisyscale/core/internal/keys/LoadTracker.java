package org.daisyscale.core.internal.keys;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.daisyscale.core.keys.KeyLoad;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyMap;

/**
 * Tracks the load of one service: the usual and the recent rate of requests by key, and a moving average of each
 * server's service time. Requests are counted as they arrive at the routers, so that rejected ones count too. Not
 * thread-safe; confined to the core thread.
 */
final class LoadTracker {
    /**
     * Time constant of the usual rates, in milliseconds. Calm load is told from noise by about as many requests as a
     * server has in this time.
     */
    private static final double USUAL_DECAY_MILLIS = 4_000;
    /** Time constant of the recent rates, in milliseconds: owners of a hot range need room within 1 s of its start. */
    private static final double RECENT_DECAY_MILLIS = 400;
    /** The recent rate replaces the usual one if they differ by this many standard deviations. */
    private static final double CHANGE_DEVIATIONS = 3.5;
    /**
     * A rate that rises is assumed to be above the measured one by this many standard deviations: reports are on
     * average 150 ms old, and a second plan would move keys again.
     */
    private static final double RISING_DEVIATIONS = 3;
    /** Fewer requests than this in the window of the recent rate may be chance. */
    private static final double MIN_REQUESTS = 6;
    /** Lower rates are tested like this one, in requests per second: few requests are not normally distributed. */
    private static final double MIN_TESTED_RATE = 2;
    /** Keys of a block that is tested for a change on its own: about as many as a hot range has. */
    private static final int BLOCK_KEYS = 256;
    /**
     * Least weight of one report in a server's average service time: about the last hundred reports count, 20 s of
     * them. Slow moments of 0.4 s change nothing that a move of keys could mend.
     */
    private static final double MIN_SAMPLE_WEIGHT = 0.01;
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

    private final DecayedCounts usual = new DecayedCounts(USUAL_DECAY_MILLIS);
    private final DecayedCounts recent = new DecayedCounts(RECENT_DECAY_MILLIS);
    private final Map<String, MovingAverage> serviceMillisByServer = new HashMap<>();

    /** Records the requests and service times that a router reported. Ignores keys out of range. */
    void add(KeyLoad load, long nowNanos) {
        decayTo(nowNanos);
        load.keys().stream().filter(key -> 0 <= key && key < KeyMap.KEY_COUNT).forEach(key -> {
            usual.add(key);
            recent.add(key);
        });
        load.serviceMillisByServer()
                .forEach((server, millis) -> serviceMillisByServer
                        .computeIfAbsent(server, id -> new MovingAverage(meanServiceMillis()))
                        .add(millis));
    }

    /** Decays all counts up to {@code nowNanos}. */
    void decayTo(long nowNanos) {
        usual.decayTo(nowNanos);
        recent.decayTo(nowNanos);
    }

    /** Returns the demand for a range: the usual one, or the recent one if that certainly differs. */
    RangeDemand demand(KeyAssignment range) {
        int first = range.firstKey();
        int last = range.lastKey();
        double baselinePerKey = TOTAL_BASELINE_RATE / KeyMap.KEY_COUNT;
        if (!hasChanged(first, last) && !hasHotBlock(first, last)) {
            return new RangeDemand(usual, first, last, 1, baselinePerKey, false);
        }
        double rate = recent.rate(first, last);
        boolean isRising = rate > usual.rate(first, last);
        double factor = isRising ? 1 + RISING_DEVIATIONS * recent.deviation(rate) / rate : 1;
        return new RangeDemand(recent, first, last, factor, baselinePerKey, true);
    }

    /** Returns whether the recent rate of the keys is hardly possible by chance while the usual one lasts. */
    private boolean hasChanged(int first, int last) {
        double usualRate = usual.rate(first, last);
        double recentRate = recent.rate(first, last);
        double deviation = recent.deviation(Math.max(usualRate, MIN_TESTED_RATE));
        return Math.abs(recentRate - usualRate) > CHANGE_DEVIATIONS * deviation
                && Math.max(usualRate, recentRate) * recent.windowSeconds() >= MIN_REQUESTS;
    }

    /** Returns whether a part of a range is hot now and wasn't, which the rate of the whole range shows only later. */
    private boolean hasHotBlock(int first, int last) {
        for (int block = first - first % BLOCK_KEYS; block <= last; block += BLOCK_KEYS) {
            int firstOfBlock = Math.max(first, block);
            int lastOfBlock = Math.min(last, block + BLOCK_KEYS - 1);
            boolean isRising = recent.rate(firstOfBlock, lastOfBlock) > usual.rate(firstOfBlock, lastOfBlock);
            if (isRising && hasChanged(firstOfBlock, lastOfBlock)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the usual requests per second per key, over all keys. */
    double meanDensity() {
        return (usual.rate(0, KeyMap.KEY_COUNT - 1) + TOTAL_BASELINE_RATE) / KeyMap.KEY_COUNT;
    }

    /** Returns the capacity of {@code server} in requests per second. */
    double capacity(BackendServer server) {
        return server.slots() * 1_000 / serviceMillis(server);
    }

    /** Returns the service time of {@code server} as a multiple of the mean of all servers. */
    double relativeServiceTime(BackendServer server) {
        return serviceMillis(server) / meanServiceMillis();
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
        double utilization = Math.min(1, usual.rate(0, KeyMap.KEY_COUNT - 1) / Math.max(1, capacity));
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
