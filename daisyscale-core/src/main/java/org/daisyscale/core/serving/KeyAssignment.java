package org.daisyscale.core.serving;

import java.util.ArrayList;
import java.util.List;

/**
 * A range of keys and its owner. Until the assignment is settled, the range is moving: its owner does not serve it yet,
 * but a predecessor may. Immutable.
 *
 * @param firstKey the first key
 * @param lastKey the last key, inclusive
 * @param owner the server that owns the range, or will own it
 * @param fence the fencing token that distinguishes this assignment from others of the same keys; the owner's grants
 *     have higher fences
 * @param isSettled whether the owner holds its grant, so that requests may be sent to it
 * @param predecessors the servers that may still hold a range that is moving; they get no grant of its keys any more
 * @param lateGrantMillis for how long after the map was stored a grant to a predecessor may still take effect, in
 *     milliseconds; 0 if all grants to the predecessors have certainly taken effect or never will
 */
public record KeyAssignment(
        int firstKey,
        int lastKey,
        Owner owner,
        long fence,
        boolean isSettled,
        List<Owner> predecessors,
        long lateGrantMillis) {
    /** The value of {@code lateGrantMillis} that stands for the longest hold that servers accept. */
    public static final long LONGEST_HOLD = Long.MAX_VALUE;

    public KeyAssignment {
        predecessors = List.copyOf(predecessors);
    }

    /** Creates an assignment whose predecessors have no grant that may still take effect. */
    public KeyAssignment(
            int firstKey, int lastKey, Owner owner, long fence, boolean isSettled, List<Owner> predecessors) {
        this(firstKey, lastKey, owner, fence, isSettled, predecessors, 0);
    }

    /** Returns the unsettled assignment of a range that no server has held to its first owner. */
    public static KeyAssignment first(int firstKey, int lastKey, Owner owner, long fence) {
        return new KeyAssignment(firstKey, lastKey, owner, fence, false, List.of());
    }

    /** Returns the number of keys. */
    public int keyCount() {
        return lastKey - firstKey + 1;
    }

    /** Returns an assignment of other keys with the same owner, fence and state. */
    public KeyAssignment withKeys(int newFirstKey, int newLastKey) {
        return new KeyAssignment(newFirstKey, newLastKey, owner, fence, isSettled, predecessors, lateGrantMillis);
    }

    /** Returns the unsettled assignment of the same keys to {@code newOwner}; possible holders become predecessors. */
    public KeyAssignment movedTo(Owner newOwner, long newFence) {
        List<Owner> mayHold = new ArrayList<>(predecessors);
        if (!mayHold.contains(owner)) {
            mayHold.add(owner);
        }
        return new KeyAssignment(firstKey, lastKey, newOwner, newFence, false, mayHold, lateGrantMillis);
    }

    /** Returns an assignment with a grant to a predecessor that may take effect for another {@code millis}. */
    public KeyAssignment withLateGrants(long millis) {
        return new KeyAssignment(
                firstKey, lastKey, owner, fence, isSettled, predecessors, Math.max(lateGrantMillis, millis));
    }

    /** Returns the settled assignment, which applies once the owner holds its grant. */
    public KeyAssignment settled() {
        return new KeyAssignment(firstKey, lastKey, owner, fence, true, List.of());
    }

    /**
     * One incarnation of a server. Immutable.
     *
     * @param serverId the server's id
     * @param bornEpochMillis when the incarnation started, in milliseconds since the epoch
     * @param host the IP address, to reach a server that is no longer registered
     * @param port the port
     */
    public record Owner(String serverId, long bornEpochMillis, String host, int port) {

        /** Returns the owner that identifies {@code server}. */
        public static Owner of(BackendServer server) {
            return new Owner(server.id(), server.bornEpochMillis(), server.host(), server.port());
        }

        /** Returns whether {@code server} is the same incarnation. */
        public boolean isIncarnation(BackendServer server) {
            return serverId.equals(server.id()) && bornEpochMillis == server.bornEpochMillis();
        }
    }
}
