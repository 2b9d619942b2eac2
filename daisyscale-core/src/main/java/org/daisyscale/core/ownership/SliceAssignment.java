package org.daisyscale.core.ownership;

/**
 * The owner of one contiguous range of key hashes. Immutable.
 *
 * @param service the service
 * @param startHash the first hash, at least 0
 * @param endHash the end of the slice, exclusive, at most {@link KeyHash#SPACE}
 * @param server the backend server that owns the slice; empty if it has no owner
 * @param epoch increases with each change of the owner
 * @param predecessor the previous owner while it may still hold a grant; empty once it no longer can
 */
public record SliceAssignment(
        String service, long startHash, long endHash, String server, long epoch, String predecessor) {

    /** Returns whether {@code hash} lies in the slice. */
    public boolean contains(long hash) {
        return startHash <= hash && hash < endHash;
    }

    /** Returns whether the slice has an owner that may be granted it now. */
    public boolean isSettled() {
        return predecessor.isEmpty() && !server.isEmpty();
    }
}
