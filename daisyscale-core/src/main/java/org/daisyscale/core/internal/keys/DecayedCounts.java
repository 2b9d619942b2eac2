package org.daisyscale.core.internal.keys;

import org.daisyscale.core.serving.KeyMap;

/**
 * Request counts by key that decay exponentially, with their sums over ranges of keys. Not thread-safe; confined to the
 * core thread.
 */
final class DecayedCounts {
    /** Counts are scaled down once the scale exceeds this, before they leave the range of a double. */
    private static final double MAX_SCALE = 1e100;

    private final double decayMillis;
    /** Decayed counts, multiplied by {@code scale}. Decay raises the scale and leaves the counts as they are. */
    private final double[] scaledCountByKey = new double[KeyMap.KEY_COUNT];
    /** The sum of the scaled counts of all keys below each key. */
    private final double[] scaledSumBelowKey = new double[KeyMap.KEY_COUNT + 1];

    private boolean areSumsOutdated;
    private long decayedNanos;
    private long startedNanos;
    private boolean isStarted;
    private double scale = 1;

    /** Creates counts that decay with the time constant {@code decayMillis}, in milliseconds. */
    DecayedCounts(double decayMillis) {
        this.decayMillis = decayMillis;
    }

    /** Counts a request for {@code key} now; {@link #decayTo} must have been called for now. */
    void add(int key) {
        scaledCountByKey[key] += scale;
        areSumsOutdated = true;
    }

    /** Decays all counts up to {@code nowNanos}. */
    void decayTo(long nowNanos) {
        if (!isStarted) {
            isStarted = true;
            startedNanos = nowNanos;
            decayedNanos = nowNanos;
        }
        scale *= Math.exp((nowNanos - decayedNanos) / 1e6 / decayMillis);
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
        areSumsOutdated = true;
    }

    /** Returns the effective length of the decay window in seconds; short at first, while nothing has decayed. */
    double windowSeconds() {
        double passedMillis = Math.max(1, (decayedNanos - startedNanos) / 1e6);
        return decayMillis * (1 - Math.exp(-passedMillis / decayMillis)) / 1_000;
    }

    /** Returns the requests per second for the keys from {@code firstKey} to {@code lastKey}, inclusive. */
    double rate(int firstKey, int lastKey) {
        updateSums();
        return (scaledSumBelowKey[lastKey + 1] - scaledSumBelowKey[firstKey]) / scale / windowSeconds();
    }

    /** Returns the standard deviation of a measured rate whose true value is {@code rate}, by Poisson's statistics. */
    double deviation(double rate) {
        return Math.sqrt(rate / 2 / windowSeconds());
    }

    /** Returns the key with the most requests from {@code firstKey} to {@code lastKey}, inclusive. */
    int hottestKey(int firstKey, int lastKey) {
        int hottest = firstKey;
        for (int key = firstKey + 1; key <= lastKey; key++) {
            hottest = scaledCountByKey[key] > scaledCountByKey[hottest] ? key : hottest;
        }
        return hottest;
    }

    private void updateSums() {
        if (!areSumsOutdated) {
            return;
        }
        double sum = 0;
        for (int key = 0; key < KeyMap.KEY_COUNT; key++) {
            sum += scaledCountByKey[key];
            scaledSumBelowKey[key + 1] = sum;
        }
        areSumsOutdated = false;
    }
}
