package org.daisyscale.core.internal.digest;

/**
 * A 64-bit digest of a sequence of values, the same on each router. It does not resist deliberate collisions. Not
 * thread-safe.
 */
public final class StableDigest {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_FACTOR_1 = 0xff51afd7ed558ccdL;
    private static final long MIX_FACTOR_2 = 0xc4ceb9fe1a85ec53L;
    private static final int MIX_SHIFT = 33;

    private long digest = FNV_OFFSET;

    /** Adds a number. */
    public StableDigest add(long value) {
        digest = mix(digest * FNV_PRIME + mix(value));
        return this;
    }

    /** Adds a number. */
    public StableDigest add(double value) {
        return add(Double.doubleToLongBits(value));
    }

    /** Adds a condition. */
    public StableDigest add(boolean value) {
        return add(value ? 1L : 0L);
    }

    /** Adds a text and its length, so that the boundary between two texts counts. */
    public StableDigest add(String text) {
        for (int index = 0; index < text.length(); index++) {
            digest = (digest ^ text.charAt(index)) * FNV_PRIME;
        }
        return add((long) text.length());
    }

    /** Returns the digest of the values that were added so far, in their order. */
    public long value() {
        return digest;
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> MIX_SHIFT)) * MIX_FACTOR_1;
        mixed = (mixed ^ (mixed >>> MIX_SHIFT)) * MIX_FACTOR_2;
        return mixed ^ (mixed >>> MIX_SHIFT);
    }
}
