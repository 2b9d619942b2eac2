package org.daisyscale.core.internal.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.daisyscale.core.Moment;
import org.daisyscale.core.peer.PeerMessage.HotKey;
import org.daisyscale.core.peer.PeerMessage.SliceLoad;

/**
 * Measures the service time spent per slice, and per key for the hottest keys, as exponentially decayed rates. The
 * number of keys is bounded by the algorithm of Misra and Gries: when a new key doesn't fit, every counter and the new
 * weight are reduced by the smallest of them. A key with more than 1/(capacity + 1) of the total load is therefore
 * always kept. Not thread-safe; confined to the core thread.
 */
final class LoadMeter {
    private static final int MAX_KEYS = 256;
    private static final int MAX_REPORTED_KEYS = 64;
    private static final double DECAY_FACTOR_PER_SECOND = 0.8;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<Long, Double> microsBySlice = new HashMap<>();
    private final Map<Long, Double> microsByKey = new HashMap<>();
    private long decayedNanos = Long.MIN_VALUE;

    void add(long sliceStartHash, long keyHash, long serviceMicros) {
        microsBySlice.merge(sliceStartHash, (double) serviceMicros, Double::sum);
        if (microsByKey.containsKey(keyHash) || microsByKey.size() < MAX_KEYS) {
            microsByKey.merge(keyHash, (double) serviceMicros, Double::sum);
        } else {
            reduceCounters(keyHash, (double) serviceMicros);
        }
    }

    private void reduceCounters(long keyHash, double serviceMicros) {
        double smallest = microsByKey.values().stream().min(Double::compare).orElse(0.0);
        double reduction = Math.min(smallest, serviceMicros);
        microsByKey.replaceAll((key, micros) -> micros - reduction);
        microsByKey.values().removeIf(micros -> micros <= 0);
        if (serviceMicros > reduction) {
            microsByKey.put(keyHash, serviceMicros - reduction);
        }
    }

    /** Decays the recorded load by the time since the last call; called once per report. */
    void decay(Moment now) {
        if (decayedNanos != Long.MIN_VALUE) {
            double factor = Math.pow(DECAY_FACTOR_PER_SECOND, (now.nanos() - decayedNanos) / NANOS_PER_SECOND);
            microsBySlice.replaceAll((slice, micros) -> micros * factor);
            microsByKey.replaceAll((key, micros) -> micros * factor);
            microsBySlice.values().removeIf(micros -> micros < 1);
            microsByKey.values().removeIf(micros -> micros < 1);
        }
        decayedNanos = now.nanos();
    }

    /** Returns the load of each slice of {@code sliceStartHashes}, in microseconds of service time per second. */
    List<SliceLoad> sliceLoads(List<Long> sliceStartHashes) {
        return sliceStartHashes.stream()
                .map(start -> new SliceLoad(start, perSecond(microsBySlice.getOrDefault(start, 0.0))))
                .toList();
    }

    /** Returns the keys with the highest load, highest first. */
    List<HotKey> hotKeys() {
        return microsByKey.entrySet().stream()
                .sorted(Map.Entry.<Long, Double>comparingByValue(Comparator.reverseOrder())
                        .thenComparing(Map.Entry.comparingByKey()))
                .limit(MAX_REPORTED_KEYS)
                .map(entry -> new HotKey(entry.getKey(), perSecond(entry.getValue())))
                .toList();
    }

    /** Converts an exponentially decayed sum to the steady rate, per second, that yields this sum. */
    private static double perSecond(double decayedMicros) {
        return decayedMicros * -Math.log(DECAY_FACTOR_PER_SECOND);
    }
}
