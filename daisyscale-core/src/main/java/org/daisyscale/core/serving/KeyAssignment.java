package org.daisyscale.core.serving;

import java.util.ArrayList;
import java.util.List;

/**
 * A range of keys and its owner. Until it is settled the range is on its way and nobody serves it. Immutable.
 *
 * @param firstKey the first key
 * @param lastKey the last key, inclusive
 * @param owner the server that owns the range, or will own it
 * @param fence tells this assignment from others of the same keys; the grants of the owner have fences above it
 * @param isSettled whether the owner has its grant, so that requests may be sent to it
 * @param predecessors the servers that may still hold a range that is on its way
 */
public record KeyAssignment(
        int firstKey, int lastKey, Owner owner, long fence, boolean isSettled, List<Owner> predecessors) {

    public KeyAssignment {
        predecessors = List.copyOf(predecessors);
    }

    /** A range that nobody has held, on its way to its first owner. */
    public static KeyAssignment first(int firstKey, int lastKey, Owner owner, long fence) {
        return new KeyAssignment(firstKey, lastKey, owner, fence, false, List.of());
    }

    /** The number of keys. */
    public int keyCount() {
        return lastKey - firstKey + 1;
    }

    /** The same owner and fence for other keys. */
    public KeyAssignment withKeys(int newFirstKey, int newLastKey) {
        return new KeyAssignment(newFirstKey, newLastKey, owner, fence, isSettled, predecessors);
    }

    /** The same keys on their way to {@code newOwner}; whoever may hold them now is a predecessor. */
    public KeyAssignment movedTo(Owner newOwner, long newFence) {
        List<Owner> mayHold = new ArrayList<>(predecessors);
        if (!mayHold.contains(owner)) {
            mayHold.add(owner);
        }
        return new KeyAssignment(firstKey, lastKey, newOwner, newFence, false, mayHold);
    }

    /** The range once the owner has its grant. */
    public KeyAssignment settled() {
        return new KeyAssignment(firstKey, lastKey, owner, fence, true, List.of());
    }

    /**
     * One incarnation of a server. Immutable.
     *
     * @param serverId the server's id
     * @param bornEpochMillis when the incarnation started, in milliseconds since the epoch
     * @param host the IP number, to reach a server that is no longer registered
     * @param port the port
     */
    public record Owner(String serverId, long bornEpochMillis, String host, int port) {

        /** The owner that {@code server} is. */
        public static Owner of(BackendServer server) {
            return new Owner(server.id(), server.bornEpochMillis(), server.host(), server.port());
        }

        /** Whether {@code server} is this very incarnation. */
        public boolean isIncarnation(BackendServer server) {
            return serverId.equals(server.id()) && bornEpochMillis == server.bornEpochMillis();
        }
    }
}
