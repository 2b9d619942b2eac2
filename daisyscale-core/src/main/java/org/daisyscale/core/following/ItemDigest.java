package org.daisyscale.core.following;

/**
 * Digests of items, which are summed to the digest of a view, so that a change of one item changes the sum without a
 * pass over the others. The same on each router. Stateless.
 */
public final class ItemDigest {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_FACTOR_1 = 0xff51afd7ed558ccdL;
    private static final long MIX_FACTOR_2 = 0xc4ceb9fe1a85ec53L;
    private static final int MIX_SHIFT = 33;

    private ItemDigest() {}

    /** Returns the digest of the item at {@code key} that was written at {@code revision}. */
    public static long of(String key, long revision) {
        long hash = FNV_OFFSET;
        for (int index = 0; index < key.length(); index++) {
            hash = (hash ^ key.charAt(index)) * FNV_PRIME;
        }
        return mix(hash + mix(revision));
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> MIX_SHIFT)) * MIX_FACTOR_1;
        mixed = (mixed ^ (mixed >>> MIX_SHIFT)) * MIX_FACTOR_2;
        return mixed ^ (mixed >>> MIX_SHIFT);
    }
}
