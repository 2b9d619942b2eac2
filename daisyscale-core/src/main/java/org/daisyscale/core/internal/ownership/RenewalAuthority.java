package org.daisyscale.core.internal.ownership;

import org.daisyscale.core.Moment;

/**
 * Decides how long a router may act on the map that it knows. Invariant: once {@link #isConfirmed} has returned true
 * for a map version, every router that acts on an older version stops within {@link #periodMillis()}.
 */
public interface RenewalAuthority {

    /**
     * Returns until when this router may act on its map, on its monotonic clock in nanoseconds; a time in the past if
     * it may not.
     */
    long endsNanos(Moment now);

    /** Returns whether no router can gain new authority for a map older than {@code version}. */
    boolean isConfirmed(long version, Moment now);

    /** Returns how long authority for an older map may last after the confirmation, in milliseconds. */
    long periodMillis();

    /** Returns whether this router may act on its map at {@code now}. */
    default boolean holds(Moment now) {
        return endsNanos(now) > now.nanos();
    }
}
