package org.daisyscale.core.internal.keys;

import java.util.ArrayList;
import java.util.List;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;
import org.daisyscale.core.serving.KeyMap;

/**
 * The next version of a key map while it is planned. Ranges stay in order. Not thread-safe; confined to the core
 * thread.
 */
final class MapDraft {
    private final KeyMap base;
    private final List<KeyAssignment> assignments;
    private final long era;
    private final MoveGuard guard;
    private long nextFence;
    private boolean isChanged;
    private boolean isUrgent;
    private boolean hasPostponedMoves;

    /** Creates a draft of the map that follows {@code base} in {@code era} of the store. */
    MapDraft(KeyMap base, long era, MoveGuard guard) {
        this.base = base;
        this.guard = guard;
        this.assignments = new ArrayList<>(base.assignments());
        this.era = era;
        this.nextFence = Math.max(base.nextFence(), EraNumbers.first(era));
    }

    List<KeyAssignment> assignments() {
        return List.copyOf(assignments);
    }

    List<KeyAssignment> ownedBy(Owner owner) {
        return assignments.stream()
                .filter(assignment -> assignment.owner().equals(owner))
                .toList();
    }

    boolean isChanged() {
        return isChanged;
    }

    /** Returns whether the change can't wait: a moved or merged range, a new fence, or reserved fences. */
    boolean isUrgent() {
        return isUrgent;
    }

    /** Returns whether a move was left out because the owner of its range has yet to answer a grant. */
    boolean hasPostponedMoves() {
        return hasPostponedMoves;
    }

    /**
     * Marks the move of {@code assignment} as completed. That is urgent if another controller would wait for grants to
     * its predecessors.
     */
    void settle(KeyAssignment assignment) {
        replace(assignment, List.of(assignment.settled()));
        isUrgent |= assignment.lateGrantMillis() > 0;
    }

    /**
     * Moves the keys from {@code firstKey} to {@code lastKey} of {@code assignment} to {@code owner}. Returns false if
     * the move is postponed until the present owner has answered.
     */
    boolean move(KeyAssignment assignment, int firstKey, int lastKey, Owner owner) {
        if (!guard.mayMove(assignment)) {
            hasPostponedMoves = true;
            return false;
        }
        renew(assignment, firstKey, lastKey, owner, guard.lateGrantMillis(assignment));
        return true;
    }

    /** Gives {@code assignment} a higher fence. */
    void raiseFence(KeyAssignment assignment) {
        renew(assignment, assignment.firstKey(), assignment.lastKey(), assignment.owner(), 0);
    }

    private void renew(KeyAssignment assignment, int firstKey, int lastKey, Owner owner, long lateGrantMillis) {
        List<KeyAssignment> pieces = new ArrayList<>();
        if (assignment.firstKey() < firstKey) {
            pieces.add(assignment.withKeys(assignment.firstKey(), firstKey - 1));
        }
        pieces.add(assignment
                .withKeys(firstKey, lastKey)
                .movedTo(owner, nextFence++)
                .withLateGrants(lateGrantMillis));
        if (lastKey < assignment.lastKey()) {
            pieces.add(assignment.withKeys(lastKey + 1, assignment.lastKey()));
        }
        replace(assignment, pieces);
        isUrgent = true;
    }

    /** Merges two adjacent ranges of the same owner; the merged range needs a new grant. */
    void merge(KeyAssignment first, KeyAssignment second) {
        int index = assignments.indexOf(first);
        assignments.remove(second);
        assignments.set(
                index, first.withKeys(first.firstKey(), second.lastKey()).movedTo(first.owner(), nextFence++));
        isChanged = true;
        isUrgent = true;
    }

    /** Marks the map as changed, so that it is written even if only to reserve fences. */
    void reserveFences() {
        isChanged = true;
        isUrgent = true;
    }

    private void replace(KeyAssignment assignment, List<KeyAssignment> pieces) {
        int index = assignments.indexOf(assignment);
        assignments.remove(index);
        assignments.addAll(index, pieces);
        isChanged = true;
    }

    /** Returns the planned map as the next version, with a new block of fences reserved. */
    KeyMap toMap() {
        long version = Math.max(base.version() + 1, EraNumbers.first(era));
        return new KeyMap(base.service(), version, 0, nextFence + FenceBlock.SIZE, assignments);
    }

    /** Returns the stored version with those ranges settled whose owners accepted their grants since. */
    KeyMap toProgress(int progress) {
        return new KeyMap(base.service(), base.version(), progress, base.nextFence(), assignments);
    }
}
