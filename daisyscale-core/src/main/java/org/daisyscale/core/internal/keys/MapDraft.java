package org.daisyscale.core.internal.keys;

import java.util.ArrayList;
import java.util.List;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;
import org.daisyscale.core.serving.KeyMap;

/** The next version of a key map while it is planned. Ranges stay in order. Owned by the thread that owns the core. */
final class MapDraft {
    private final KeyMap base;
    private final List<KeyAssignment> assignments;
    private long nextFence;
    private boolean isChanged;
    private boolean hasMoves;

    MapDraft(KeyMap base) {
        this.base = base;
        this.assignments = new ArrayList<>(base.assignments());
        this.nextFence = base.nextFence();
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

    /** Whether anything but the end of moves is new: a range on its way, one with another fence, or more fences. */
    boolean hasMoves() {
        return hasMoves;
    }

    /** Marks the move of {@code assignment} as done. */
    void settle(KeyAssignment assignment) {
        replace(assignment, List.of(assignment.settled()));
    }

    /** Sends the keys from {@code firstKey} to {@code lastKey} of {@code assignment} on their way to {@code owner}. */
    void move(KeyAssignment assignment, int firstKey, int lastKey, Owner owner) {
        List<KeyAssignment> parts = new ArrayList<>();
        if (assignment.firstKey() < firstKey) {
            parts.add(assignment.withKeys(assignment.firstKey(), firstKey - 1));
        }
        parts.add(assignment.withKeys(firstKey, lastKey).movedTo(owner, nextFence++));
        if (lastKey < assignment.lastKey()) {
            parts.add(assignment.withKeys(lastKey + 1, assignment.lastKey()));
        }
        replace(assignment, parts);
        hasMoves = true;
    }

    /** Makes one range of two neighbours with the same owner, which takes a grant for all of it. */
    void merge(KeyAssignment first, KeyAssignment second) {
        int index = assignments.indexOf(first);
        assignments.remove(second);
        assignments.set(
                index, first.withKeys(first.firstKey(), second.lastKey()).movedTo(first.owner(), nextFence++));
        isChanged = true;
        hasMoves = true;
    }

    /** The map is written for its fences, if for nothing else. */
    void setFencesAside() {
        isChanged = true;
        hasMoves = true;
    }

    private void replace(KeyAssignment assignment, List<KeyAssignment> parts) {
        int index = assignments.indexOf(assignment);
        assignments.remove(index);
        assignments.addAll(index, parts);
        isChanged = true;
    }

    KeyMap toMap() {
        return new KeyMap(base.service(), base.version() + 1, 0, nextFence + FenceBlock.SIZE, assignments);
    }

    /** The map that is stored, with the ranges settled that took their grants since. */
    KeyMap toProgress(int progress) {
        return new KeyMap(base.service(), base.version(), progress, base.nextFence(), assignments);
    }
}
