package org.daisyscale.core.internal.keys;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.daisyscale.core.keys.KeyLoad;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyMap;

/**
 * The requests a second by key, fading, and how fast each server works, of one service. Owned by the thread that owns
 * the core.
 */
final class LoadBook {
    /** How soon load fades, in milliseconds: hot keys change within seconds, and fewer requests would be noise. */
    private static final double FADE_MILLIS = 2_000;
    /** The weight of one report in the mean of a server's service time: about the last thirty answers count. */
    private static final double SAMPLE_WEIGHT = 0.03;
    /** What is usual counts like this many reports of a server: about a second of them, from several routers. */
    private static final int USUAL_REPORTS = 8;
    /**
     * How far keys lean to fast servers while servers are idle: an answer's time is then all work, and little waiting.
     * At full load servers share by what they can bear.
     */
    private static final double LEAN_TO_FAST = 1.2;
    /** The service time of a server that nobody reported, in milliseconds. */
    private static final double FIRST_SERVICE_MILLIS = 150;

    /** What all keys of a service together add to its rate, in requests a second: only breaks ties. */
    private static final double ALL_KEYS_RATE = 1;

    /** Counts are scaled down once they have grown by this factor, before they leave the range of a double. */
    private static final double MAX_GROWTH = 1e100;

    /** Requests by key, each weighted by how much older ones have faded when it came. */
    private final double[] grownByKey = new double[KeyMap.KEY_COUNT];

    private final Map<String, MeanMillis> serviceMillisByServer = new HashMap<>();
    private long fadedNanos;
    private long startedNanos;
    private boolean isStarted;
    private double growth = 1;

    void add(KeyLoad load, long nowNanos) {
        fade(nowNanos);
        load.keys().stream()
                .filter(key -> 0 <= key && key < KeyMap.KEY_COUNT)
                .forEach(key -> grownByKey[key] += growth);
        load.serviceMillisByServer()
                .forEach((server, millis) -> serviceMillisByServer
                        .computeIfAbsent(server, id -> new MeanMillis(meanServiceMillis()))
                        .add(millis));
    }

    void fade(long nowNanos) {
        if (!isStarted) {
            isStarted = true;
            startedNanos = nowNanos;
            fadedNanos = nowNanos;
        }
        growth *= Math.exp((nowNanos - fadedNanos) / 1e6 / FADE_MILLIS);
        fadedNanos = nowNanos;
        if (growth > MAX_GROWTH) {
            scaleDown();
        }
    }

    private void scaleDown() {
        for (int key = 0; key < KeyMap.KEY_COUNT; key++) {
            grownByKey[key] /= growth;
        }
        growth = 1;
    }

    /** The time that the load stands for, in seconds; short at first, since nothing has faded yet. */
    double windowSeconds() {
        double passedMillis = Math.max(1, (fadedNanos - startedNanos) / 1e6);
        return FADE_MILLIS * (1 - Math.exp(-passedMillis / FADE_MILLIS)) / 1_000;
    }

    /** The requests a second for {@code key}. */
    double rate(int key) {
        return grownByKey[key] / growth / windowSeconds();
    }

    /** The requests a second for {@code key}, and a little for the key itself, so that idle keys spread too. */
    double weight(int key) {
        return rate(key) + ALL_KEYS_RATE / KeyMap.KEY_COUNT;
    }

    /** The same for a range. */
    double weight(KeyAssignment assignment) {
        return rate(assignment) + ALL_KEYS_RATE * assignment.keyCount() / KeyMap.KEY_COUNT;
    }

    /** The requests a second for the keys from {@code firstKey} to {@code lastKey}. */
    double rate(int firstKey, int lastKey) {
        double sum = 0;
        for (int key = firstKey; key <= lastKey; key++) {
            sum += grownByKey[key];
        }
        return sum / growth / windowSeconds();
    }

    double rate(KeyAssignment assignment) {
        return rate(assignment.firstKey(), assignment.lastKey());
    }

    /** The key of {@code assignment} with the most requests. */
    int hottest(KeyAssignment assignment) {
        int hottest = assignment.firstKey();
        for (int key = assignment.firstKey() + 1; key <= assignment.lastKey(); key++) {
            hottest = grownByKey[key] > grownByKey[hottest] ? key : hottest;
        }
        return hottest;
    }

    /** The requests a second that {@code server} can bear. */
    double capacity(BackendServer server) {
        return server.slots() * 1_000 / serviceMillis(server);
    }

    private double serviceMillis(BackendServer server) {
        MeanMillis mean = serviceMillisByServer.get(server.id());
        return mean == null ? meanServiceMillis() : mean.millis;
    }

    /**
     * The weights by which {@code servers} should share the load; they sum up to what the servers can bear. The less of
     * that is in use, the more the fast ones get.
     */
    Map<String, Double> weights(List<BackendServer> servers) {
        double capacity = servers.stream().mapToDouble(this::capacity).sum();
        double usedShare = Math.min(1, rate(0, KeyMap.KEY_COUNT - 1) / Math.max(1, capacity));
        double exponent = LEAN_TO_FAST * (1 - usedShare);
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
                .orElse(FIRST_SERVICE_MILLIS);
    }

    /** A running mean that begins with what is usual, so that a few quick answers don't make a server look fast. */
    private static final class MeanMillis {
        private double millis;
        private int count = USUAL_REPORTS;

        private MeanMillis(double usualMillis) {
            millis = usualMillis;
        }

        private void add(double sample) {
            count++;
            millis += Math.max(SAMPLE_WEIGHT, 1.0 / count) * (sample - millis);
        }
    }
}
