package org.daisyscale.core.following;

/**
 * Identifies what a view of a prefix of the store holds. Two views with the same digest hold the same items, whatever
 * they read and in which order. Immutable.
 *
 * @param revision the store's revision up to which the view lacks no change, with the store's era in its high bits (see
 *     {@link org.daisyscale.core.platform.EraRevision})
 * @param digest the digest of the items that the view holds
 */
public record ViewVersion(long revision, long digest) {
    /** The version of a view that has never been read. */
    public static final ViewVersion NONE = new ViewVersion(0, 0);

    /** Returns whether a view of this version holds the same items as one of {@code other}. */
    public boolean hasSameItems(ViewVersion other) {
        return digest == other.digest;
    }
}
