package org.daisyscale.core.internal.keys;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;

/**
 * Remembers which keys left which owner lately, so that they don't move back and forth. Lost with the controller, after
 * which a key may move once more. Not thread-safe; confined to the core thread.
 */
final class MoveHistory {
    /** How long moved keys stay, in milliseconds: as long as load stays hot. */
    private static final long STAY_MILLIS = 5_000;
    /** How long moved keys don't return, in milliseconds: twice as long as load stays hot. */
    private static final long RETURN_MILLIS = 2 * STAY_MILLIS;

    private final Deque<Move> moves = new ArrayDeque<>();

    /** Records the changes of owner from {@code before} to {@code after}, both in order of keys. */
    void record(List<KeyAssignment> before, List<KeyAssignment> after, long nowNanos) {
        while (!moves.isEmpty() && nowNanos - moves.peek().atNanos() >= RETURN_MILLIS * 1_000_000L) {
            moves.remove();
        }
        for (KeyAssignment old : before) {
            after.stream()
                    .filter(next -> next.firstKey() <= old.lastKey()
                            && old.firstKey() <= next.lastKey()
                            && !next.owner().equals(old.owner()))
                    .forEach(next -> moves.add(new Move(
                            Math.max(old.firstKey(), next.firstKey()),
                            Math.min(old.lastKey(), next.lastKey()),
                            old.owner(),
                            nowNanos)));
        }
    }

    /** Returns whether any of the keys moved lately. */
    boolean hasMoved(int firstKey, int lastKey, long nowNanos) {
        return moves.stream().anyMatch(move -> move.covers(firstKey, lastKey, nowNanos - STAY_MILLIS * 1_000_000L));
    }

    /** Returns whether {@code owner} gave up any of the keys lately. */
    boolean hasLeft(Owner owner, int firstKey, int lastKey, long nowNanos) {
        return moves.stream()
                .anyMatch(move -> move.covers(firstKey, lastKey, nowNanos - RETURN_MILLIS * 1_000_000L)
                        && move.from().serverId().equals(owner.serverId()));
    }

    /** Keys that left an owner. Immutable. */
    private record Move(int firstKey, int lastKey, Owner from, long atNanos) {

        private boolean covers(int first, int last, long sinceNanos) {
            return firstKey <= last && first <= lastKey && atNanos - sinceNanos > 0;
        }
    }
}
