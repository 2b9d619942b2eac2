package org.daisyscale.core.internal.control;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.daisyscale.core.Moment;
import org.daisyscale.core.internal.ownership.RenewalAuthority;
import org.daisyscale.core.ownership.OwnershipMap;
import org.daisyscale.core.ownership.RangeAssignment;
import org.daisyscale.core.ownership.SliceAssignment;

/**
 * Records when a majority of the seats confirmed each map version, and which version first contained each unsettled
 * assignment. Counts only what this router itself observed, so a new controller waits anew for confirmations. Not
 * thread-safe; confined to the core thread.
 */
final class ConfirmationTracker {
    private static final int MAX_VERSIONS = 256;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final RenewalAuthority authority;
    private final NavigableMap<Long, Long> confirmedNanosByVersion = new TreeMap<>();
    private final Map<String, Long> firstVersionByAssignment = new TreeMap<>();
    private final Map<String, Long> plannedNanosByWriteId = new HashMap<>();
    private final Map<Long, Long> plannedNanosByVersion = new HashMap<>();

    ConfirmationTracker(RenewalAuthority authority) {
        this.authority = authority;
    }

    /** Discards all records, at the start of a term. */
    void clear() {
        confirmedNanosByVersion.clear();
        firstVersionByAssignment.clear();
        plannedNanosByWriteId.clear();
        plannedNanosByVersion.clear();
    }

    /** Records that the write {@code writeId} is about to be sent. No router knows its map before {@code now}. */
    void recordWrite(String writeId, Moment now) {
        plannedNanosByWriteId.put(writeId, now.nanos());
    }

    /**
     * Records the unsettled assignments of {@code map}, and the time if a majority of the seats confirms its version
     * now.
     */
    void recordMap(OwnershipMap map, Moment now) {
        map.slices().stream()
                .filter(slice -> !slice.predecessor().isEmpty())
                .forEach(slice -> firstVersionByAssignment.putIfAbsent(id(slice), map.version()));
        map.ranges().stream()
                .filter(range -> !range.isSettled())
                .forEach(range -> firstVersionByAssignment.putIfAbsent(id(range), map.version()));
        Long plannedNanos = plannedNanosByWriteId.remove(map.writeId());
        if (plannedNanos != null) {
            plannedNanosByVersion.put(map.version(), plannedNanos);
        }
        if (authority.isConfirmed(map.version(), now)) {
            confirmedNanosByVersion.putIfAbsent(map.version(), now.nanos());
        }
        while (confirmedNanosByVersion.size() > MAX_VERSIONS) {
            confirmedNanosByVersion.pollFirstEntry();
        }
    }

    /**
     * Returns whether the move of {@code slice} was planned in this term and confirmed within {@code limitMillis} of
     * its planning.
     */
    boolean isConfirmedWithin(SliceAssignment slice, long limitMillis) {
        Long plannedNanos = plannedNanosByVersion.get(slice.epoch());
        OptionalLong confirmed = confirmedNanos(slice);
        return plannedNanos != null
                && confirmed.isPresent()
                && confirmed.getAsLong() - plannedNanos <= limitMillis * NANOS_PER_MILLI;
    }

    /**
     * Returns when the version that first contained the unsettled {@code slice} was confirmed, in nanoseconds of the
     * monotonic clock; empty if unconfirmed.
     */
    OptionalLong confirmedNanos(SliceAssignment slice) {
        return confirmedNanos(id(slice));
    }

    /**
     * Returns when the version that first contained the unsettled {@code range} was confirmed, in nanoseconds of the
     * monotonic clock; empty if unconfirmed.
     */
    OptionalLong confirmedNanos(RangeAssignment range) {
        return confirmedNanos(id(range));
    }

    private OptionalLong confirmedNanos(String assignment) {
        Long firstVersion = firstVersionByAssignment.get(assignment);
        if (firstVersion == null) {
            return OptionalLong.empty();
        }
        Map.Entry<Long, Long> confirmed = confirmedNanosByVersion.ceilingEntry(firstVersion);
        return confirmed == null ? OptionalLong.empty() : OptionalLong.of(confirmed.getValue());
    }

    private static String id(SliceAssignment slice) {
        return "slice/%s/%d/%d".formatted(slice.service(), slice.startHash(), slice.epoch());
    }

    private static String id(RangeAssignment range) {
        return "range/%s/%d/%d".formatted(range.service(), range.range(), range.epoch());
    }
}
