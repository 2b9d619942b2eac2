package org.daisyscale.core.following;

import org.daisyscale.core.internal.digest.StableDigest;

/**
 * Digests of items, which are summed to the digest of a view, so that a change of one item changes the sum without a
 * pass over the others. The same on each router. Stateless.
 */
public final class ItemDigest {
    private ItemDigest() {}

    /** Returns the digest of the item at {@code key} that was written at {@code revision}. */
    public static long of(String key, long revision) {
        return new StableDigest().add(key).add(revision).value();
    }
}
