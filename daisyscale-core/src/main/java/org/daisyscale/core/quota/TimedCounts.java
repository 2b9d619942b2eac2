package org.daisyscale.core.quota;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counts by time, ordered by time. Times are rounded up to a granularity, which limits the number of entries; no count
 * therefore leaves a window or expires too early. Not thread-safe.
 */
final class TimedCounts {
    private final long granularityNanos;
    private final TreeMap<Long, Long> countByNanos = new TreeMap<>();
    private long total;

    TimedCounts(long granularityNanos) {
        this.granularityNanos = granularityNanos;
    }

    void add(long nanos, long count) {
        if (count > 0) {
            countByNanos.merge(roundUp(nanos), count, Long::sum);
            total += count;
        }
    }

    private long roundUp(long nanos) {
        return -Math.floorDiv(-nanos, granularityNanos) * granularityNanos;
    }

    /** Removes all counts at {@code nanos} or before, and returns how many there were. */
    long removeThrough(long nanos) {
        long removed = 0;
        while (!countByNanos.isEmpty() && countByNanos.firstKey() <= nanos) {
            removed += countByNanos.pollFirstEntry().getValue();
        }
        total -= removed;
        return removed;
    }

    /** Removes one of the earliest counts and returns its time. There must be one. */
    long removeEarliest() {
        long nanos = countByNanos.firstKey();
        removeAt(nanos, 1);
        return nanos;
    }

    /** Removes the {@code count} earliest, or all if there are fewer, and removes the same from {@code sum}. */
    void removeEarliest(long count, TimedCounts sum) {
        long left = Math.min(count, total);
        while (left > 0) {
            Map.Entry<Long, Long> first = countByNanos.firstEntry();
            long taken = Math.min(left, first.getValue());
            long nanos = first.getKey();
            removeAt(nanos, taken);
            sum.removeAt(nanos, taken);
            left -= taken;
        }
    }

    /** Removes the {@code count} earliest, or all if there are fewer. */
    void removeEarliest(long count) {
        long left = Math.min(count, total);
        while (left > 0) {
            Map.Entry<Long, Long> first = countByNanos.firstEntry();
            long taken = Math.min(left, first.getValue());
            removeAt(first.getKey(), taken);
            left -= taken;
        }
    }

    private void removeAt(long nanos, long count) {
        Long present = countByNanos.get(nanos);
        if (present == null) {
            return;
        }
        long removed = Math.min(count, present);
        if (removed == present) {
            countByNanos.remove(nanos);
        } else {
            countByNanos.put(nanos, present - removed);
        }
        total -= removed;
    }

    /** Returns the count after {@code fromNanos}, until {@code toNanos} inclusive. */
    long countBetween(long fromNanos, long toNanos) {
        return countByNanos.subMap(fromNanos, false, toNanos, true).values().stream()
                .mapToLong(Long::longValue)
                .sum();
    }

    long total() {
        return total;
    }

    /** Returns the earliest time; {@link Long#MAX_VALUE} if there is none. */
    long earliestNanos() {
        return countByNanos.isEmpty() ? Long.MAX_VALUE : countByNanos.firstKey();
    }

    /** Returns the time of the {@code count}th count; {@link Long#MAX_VALUE} if there are fewer. */
    long nanosOf(long count) {
        long seen = 0;
        for (Map.Entry<Long, Long> entry : countByNanos.entrySet()) {
            seen += entry.getValue();
            if (seen >= count) {
                return entry.getKey();
            }
        }
        return Long.MAX_VALUE;
    }
}
