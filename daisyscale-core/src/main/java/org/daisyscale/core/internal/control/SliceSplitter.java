package org.daisyscale.core.internal.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.daisyscale.core.ownership.SliceAssignment;

/** Splits and merges slices without changing the owner of any key. Stateless. */
final class SliceSplitter {
    private static final long MIN_SPLIT_WIDTH = 2;

    private SliceSplitter() {}

    /**
     * Splits {@code slice} around its hottest key, or in the middle if none of its keys is known to be hot.
     *
     * @return the parts in order; only {@code slice} if it is too narrow to split
     */
    static List<SliceAssignment> split(SliceAssignment slice, Map<Long, Double> hotMicrosByKeyHash) {
        if (slice.endHash() - slice.startHash() < MIN_SPLIT_WIDTH) {
            return List.of(slice);
        }
        Optional<Long> hottest = hotMicrosByKeyHash.entrySet().stream()
                .filter(entry -> slice.contains(entry.getKey()))
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey);
        return hottest.map(hash -> splitAround(slice, hash)).orElseGet(() -> splitInHalf(slice));
    }

    private static List<SliceAssignment> splitAround(SliceAssignment slice, long hash) {
        List<SliceAssignment> parts = new ArrayList<>();
        addPart(slice, slice.startHash(), hash, parts);
        addPart(slice, hash, hash + 1, parts);
        addPart(slice, hash + 1, slice.endHash(), parts);
        return parts;
    }

    private static List<SliceAssignment> splitInHalf(SliceAssignment slice) {
        long middle = slice.startHash() + (slice.endHash() - slice.startHash()) / 2;
        List<SliceAssignment> parts = new ArrayList<>();
        addPart(slice, slice.startHash(), middle, parts);
        addPart(slice, middle, slice.endHash(), parts);
        return parts;
    }

    private static void addPart(SliceAssignment slice, long start, long end, List<SliceAssignment> parts) {
        if (start < end) {
            parts.add(new SliceAssignment(
                    slice.service(), start, end, slice.server(), slice.epoch(), slice.predecessor()));
        }
    }

    /**
     * Merges two adjacent slices of the same owner. The result has {@code newEpoch} unless both slices have the same
     * epoch.
     */
    static SliceAssignment merge(SliceAssignment left, SliceAssignment right, long newEpoch) {
        long epoch = left.epoch() == right.epoch() ? left.epoch() : newEpoch;
        return new SliceAssignment(left.service(), left.startHash(), right.endHash(), left.server(), epoch, "");
    }

    /** Returns whether two slices are settled, adjacent and of the same owner. */
    static boolean areMergeable(SliceAssignment left, SliceAssignment right) {
        return left.isSettled()
                && right.isSettled()
                && left.service().equals(right.service())
                && left.server().equals(right.server())
                && left.endHash() == right.startHash();
    }
}
