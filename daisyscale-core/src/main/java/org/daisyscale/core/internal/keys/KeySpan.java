package org.daisyscale.core.internal.keys;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.daisyscale.core.serving.KeyAssignment;

/**
 * Keys at the edge of a settled range. Immutable.
 *
 * @param assignment the range
 * @param firstKey the first key
 * @param lastKey the last key, inclusive
 */
record KeySpan(KeyAssignment assignment, int firstKey, int lastKey) {

    /**
     * Returns the edge with at most {@code rate}, in requests per second, of the densest of the settled
     * {@code assignments} that has one, so that few keys move. The edge is not selected by its own measured load, which
     * would favour keys that look busy by chance.
     */
    static Optional<KeySpan> findEdge(List<KeyAssignment> assignments, double rate, LoadTracker load) {
        return assignments.stream()
                .filter(KeyAssignment::isSettled)
                .sorted(Comparator.comparingDouble(
                                (KeyAssignment range) -> load.demand(range).certainDensity())
                        .reversed())
                .map(range -> findEdge(range, rate, load.demand(range)))
                .filter(Objects::nonNull)
                .findFirst();
    }

    /** Returns the shorter edge of {@code range} with at most {@code rate}; null if its outer keys are too hot. */
    private static KeySpan findEdge(KeyAssignment range, double rate, RangeDemand demand) {
        int last = demand.lastKeyWithin(range.firstKey(), range.lastKey(), rate);
        int first = demand.firstKeyWithin(range.firstKey(), range.lastKey(), rate);
        int firstEdgeCount = last - range.firstKey() + 1;
        int lastEdgeCount = range.lastKey() - first + 1;
        if (firstEdgeCount == 0 && lastEdgeCount == 0) {
            return null;
        }
        boolean isFirstEdge = lastEdgeCount == 0 || (firstEdgeCount > 0 && firstEdgeCount <= lastEdgeCount);
        return isFirstEdge ? new KeySpan(range, range.firstKey(), last) : new KeySpan(range, first, range.lastKey());
    }
}
