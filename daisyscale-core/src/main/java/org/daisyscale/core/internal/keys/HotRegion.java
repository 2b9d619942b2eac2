package org.daisyscale.core.internal.keys;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.daisyscale.core.serving.KeyAssignment;

/**
 * Adjacent keys of one settled range that get many times the requests of other keys. Valid for one plan.
 *
 * @param assignment the range
 * @param firstKey the first key
 * @param lastKey the last key, inclusive
 * @param demand the demand for the keys of the range
 */
record HotRegion(KeyAssignment assignment, int firstKey, int lastKey, RangeDemand demand) {
    /** Fewer requests than this in the window of the measurement may be chance. */
    private static final double MIN_REQUESTS = 5;
    /** A region is hot when its load exceeds the mean load of as many keys of the service by this factor. */
    private static final double DENSE_FACTOR = 6;
    /** Fraction of the region's requests from which on one key counts as the whole region. */
    private static final double ONE_KEY_FRACTION = 0.5;
    /**
     * Part of a region's load that is assumed to be even over its keys: at its start the few requests measured place
     * the cuts badly on their own.
     */
    private static final double EVEN_FRACTION = 0.75;

    /** Returns the region with the highest demand within the settled ranges of {@code assignments}. */
    static Optional<HotRegion> find(List<KeyAssignment> assignments, LoadTracker load) {
        return assignments.stream()
                .filter(KeyAssignment::isSettled)
                .map(assignment -> findIn(assignment, load.demand(assignment), DENSE_FACTOR * load.meanDensity()))
                .filter(Objects::nonNull)
                .max(Comparator.comparingDouble(HotRegion::rate));
    }

    /** Returns the keys whose demand exceeds the dense one by the most in total; null if none are hot. */
    private static HotRegion findIn(KeyAssignment assignment, RangeDemand demand, double denseRate) {
        int first = assignment.firstKey();
        double score = 0;
        double bestScore = 0;
        HotRegion best = null;
        for (int key = assignment.firstKey(); key <= assignment.lastKey(); key++) {
            if (score <= 0) {
                first = key;
                score = 0;
            }
            score += demand.rate(key, key) - denseRate;
            if (score > bestScore) {
                bestScore = score;
                best = new HotRegion(assignment, first, key, demand);
            }
        }
        return best == null || demand.requestCount(best.firstKey, best.lastKey) < MIN_REQUESTS
                ? null
                : best.orItsOnlyKey();
    }

    private HotRegion orItsOnlyKey() {
        int key = demand.hottestKey(firstKey, lastKey);
        boolean isOneKey = demand.rate(key, key) >= ONE_KEY_FRACTION * rate();
        return isOneKey ? new HotRegion(assignment, key, key, demand) : withMargins();
    }

    /** Returns the region with the keys beside it that probably belong to it: the mean distance of its requests. */
    private HotRegion withMargins() {
        int margin = (int) (keyCount() / demand.requestCount(firstKey, lastKey));
        return new HotRegion(
                assignment,
                Math.max(assignment.firstKey(), firstKey - margin),
                Math.min(assignment.lastKey(), lastKey + margin),
                demand);
    }

    boolean isOneKey() {
        return firstKey == lastKey;
    }

    private int keyCount() {
        return lastKey - firstKey + 1;
    }

    double rate() {
        return demand.rate(firstKey, lastKey);
    }

    /** Returns the assumed demand for the keys from {@code first} to {@code last}, inclusive, a part of the region. */
    double rate(int first, int last) {
        double evenRate = rate() * (last - first + 1) / keyCount();
        return EVEN_FRACTION * evenRate + (1 - EVEN_FRACTION) * demand.rate(first, last);
    }

    /** Returns the last key up to which the keys from {@code first} on have at most {@code maxRate}. */
    int lastKeyWithin(int first, double maxRate) {
        int low = first - 1;
        int high = lastKey;
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
}
