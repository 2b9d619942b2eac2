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

    /** Logs once when the view has become stale, that is, when it has not been known to be complete for too long. */
    void logStaleView();

    /** Records that the store responded just now; {@code revision} is that of the last change under the prefix. */
    void recordRevision(long revision);
}
