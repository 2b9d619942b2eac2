package org.daisyscale.core.internal.ownership;

import java.util.Comparator;
import org.daisyscale.core.ownership.RangeAssignment;

/**
 * Identifies a dispatch range. Immutable.
 *
 * @param service the service
 * @param range the index of the range, from 0
 */
public record RangeKey(String service, int range) implements Comparable<RangeKey> {
    private static final Comparator<RangeKey> ORDER =
            Comparator.comparing(RangeKey::service).thenComparingInt(RangeKey::range);

    /** Returns the key of the range that {@code assignment} assigns. */
    public static RangeKey of(RangeAssignment assignment) {
        return new RangeKey(assignment.service(), assignment.range());
    }

    @Override
    public int compareTo(RangeKey other) {
        return ORDER.compare(this, other);
    }
}
