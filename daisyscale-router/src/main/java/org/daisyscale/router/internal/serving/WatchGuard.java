package org.daisyscale.router.internal.serving;

import java.time.Duration;

/** Decides how long a watch of one prefix may hear nothing. Safe for use by several threads. */
interface WatchGuard {

    /** How long the store may hold the next watch. */
    Duration nextWait();

    /**
     * Whether a watch that waits should be given up and the prefix listed.
     *
     * @param revision the revision after which it waits
     * @param startNanos when it began, by the monotonic clock
     */
    boolean isOverdue(long revision, long startNanos);

    /** Logs once when it hasn't been known for long whether anything is missing. */
    void noteAge();

    /** The store answered just now; {@code revision} is that of the last change under the prefix. */
    void reached(long revision);
}
