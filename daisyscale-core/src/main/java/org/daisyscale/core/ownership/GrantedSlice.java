package org.daisyscale.core.ownership;

/**
 * One slice of a {@link Grant}. Immutable.
 *
 * @param startHash the first hash of the slice
 * @param endHash the end of the slice, exclusive
 * @param epoch the epoch that orders for the slice must carry
 */
public record GrantedSlice(long startHash, long endHash, long epoch) {}
