package org.daisyscale.core.internal.keys;

/**
 * The demand for the keys of a range as a plan assumes it, in requests per second. Valid until the counts that it reads
 * change; confined to one plan.
 */
final class RangeDemand {
    private final DecayedCounts counts;
    private final int firstKey;
    private final int lastKey;
    private final double factor;
    private final double baselinePerKey;
    private final boolean isChanging;

    /**
     * Creates the demand for the keys from {@code firstKey} to {@code lastKey}, inclusive: the rates of {@code counts}
     * times {@code factor}, plus a baseline. They
     * are those of the last moments if {@code isChanging}.
     */
    RangeDemand(
            DecayedCounts counts, int firstKey, int lastKey, double factor, double baselinePerKey, boolean isChanging) {
        this.counts = counts;
        this.firstKey = firstKey;
        this.lastKey = lastKey;
        this.factor = factor;
        this.baselinePerKey = baselinePerKey;
        this.isChanging = isChanging;
    }

    /** Returns whether the demand may differ from what it was for seconds. */
    boolean isChanging() {
        return isChanging;
    }

    /** Returns the assumed demand for the whole range. */
    double rate() {
        return rate(firstKey, lastKey);
    }

    /** Returns the assumed demand for the keys from {@code first} to {@code last}, inclusive, a part of the range. */
    double rate(int first, int last) {
        return counts.rate(first, last) * factor + baselinePerKey * (last - first + 1);
    }

    /** Returns the demand for the whole range as measured. */
    double measuredRate() {
        return counts.rate(firstKey, lastKey);
    }

    /** Returns the variance of the measured demand for the whole range. */
    double variance() {
        double deviation = counts.deviation(measuredRate());
        return deviation * deviation;
    }

    /** Returns the least demand per key that the measurement shows with near certainty, by two deviations. */
    double certainDensity() {
        return (measuredRate() - 2 * counts.deviation(measuredRate())) / (lastKey - firstKey + 1);
    }

    /** Returns how many requests the measured rate of the keys stands for. */
    double requestCount(int first, int last) {
        return counts.rate(first, last) * counts.windowSeconds();
    }

    /** Returns the key with the most requests from {@code first} to {@code last}, inclusive. */
    int hottestKey(int first, int last) {
        return counts.hottestKey(first, last);
    }

    /** Returns the last key up to which the keys from {@code first} on have at most {@code maxRate}. */
    int lastKeyWithin(int first, int last, double maxRate) {
        int low = first - 1;
        int high = last;
        while (low < high) {
            int middle = (low + high + 1) >>> 1;
            if (rate(first, middle) <= maxRate) {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        return low;
    }

    /** Returns the first key from which the keys up to {@code last} have at most {@code maxRate}. */
    int firstKeyWithin(int first, int last, double maxRate) {
        int low = first;
        int high = last + 1;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (rate(middle, last) <= maxRate) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return low;
    }
}
