package org.daisyscale.router.internal.serving;

import java.time.Duration;

/** Decides how long a watch of one prefix may stay without a response. Thread-safe. */
interface WatchGuard {

    /** Returns how long the store may hold the next watch. */
    Duration nextWait();

    /**
     * Returns whether a pending watch should be given up and the prefix listed.
     *
     * @param revision the revision after which the watch reports changes
     * @param startNanos when the watch began, by the monotonic clock
     */
    boolean isOverdue(long revision, long startNanos);

    /** Returns whether the controller reports how far it has read, so that no watch is needed. */
    boolean isConfirmed();

    /** Returns whether the controller has read further than {@code revision} for longer than the permitted lag. */
    boolean isBehind(long revision);

    /** Returns the time since the view was last known to be complete, in milliseconds. */
    long ageMillis();

    /** Logs once when the view has become stale, that is, when it has not been known to be complete for too long. */
    void logStaleView();

    /** Records that the store responded just now; {@code revision} is that of the last change under the prefix. */
    void recordRevision(long revision);
}
