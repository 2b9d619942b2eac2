package org.daisyscale.core.internal.ownership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.daisyscale.core.ownership.OwnershipMap;
import org.daisyscale.core.ownership.SliceAssignment;

/**
 * Checks that one map may follow another: terms and epochs never decrease, and an epoch of a slice has one owner.
 * Stateless.
 */
final class MapHistoryCheck {
    /** The number in docs/PROOFS.md of the promise that acknowledged assignments are never lost. */
    static final int PROMISE = 2;

    private MapHistoryCheck() {}

    /**
     * Returns a description of the violation between {@code known} and {@code candidate}, in whichever order they
     * follow each other; empty if there is none.
     */
    static Optional<String> findViolation(OwnershipMap known, OwnershipMap candidate) {
        if (candidate.version() == known.version()) {
            return candidate.writeId().equals(known.writeId())
                    ? Optional.empty()
                    : Optional.of("map version %d has two write ids, %s and %s"
                            .formatted(known.version(), known.writeId(), candidate.writeId()));
        }
        return candidate.version() > known.version()
                ? findViolationBetween(known, candidate)
                : findViolationBetween(candidate, known);
    }

    private static Optional<String> findViolationBetween(OwnershipMap older, OwnershipMap newer) {
        if (newer.term() < older.term()) {
            return Optional.of("map version %d has term %d, lower than the term of an older version"
                    .formatted(newer.version(), newer.term()));
        }
        Map<String, SliceAssignment> byStart = new HashMap<>();
        older.slices().forEach(slice -> byStart.put(start(slice), slice));
        return newer.slices().stream()
                .filter(slice -> byStart.containsKey(start(slice)))
                .filter(slice -> isViolation(byStart.get(start(slice)), slice))
                .findFirst()
                .map(slice -> "map version %d changes %s to %s without a valid new epoch"
                        .formatted(newer.version(), byStart.get(start(slice)), slice));
    }

    private static String start(SliceAssignment slice) {
        return slice.service() + "/" + slice.startHash();
    }

    private static boolean isViolation(SliceAssignment before, SliceAssignment after) {
        boolean isEpochLower = after.epoch() < before.epoch();
        boolean isOtherOwner =
                after.epoch() == before.epoch() && !after.server().equals(before.server());
        boolean isUnsettled = after.epoch() == before.epoch() && before.isSettled() && !after.isSettled();
        return isEpochLower || isOtherOwner || isUnsettled;
    }
}
