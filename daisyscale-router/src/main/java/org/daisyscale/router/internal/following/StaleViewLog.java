package org.daisyscale.router.internal.following;

import org.daisyscale.router.internal.log.EventReporter;

/** Reports when a view becomes stale and when it is current again. Not thread-safe; confined to one thread. */
final class StaleViewLog {
    /**
     * Age above which a view is stale, in milliseconds: the platform requires changes to be in force within this time.
     */
    private static final long MAX_VIEW_AGE_MILLIS = 2_000;

    private final EventReporter log;
    private final String prefix;
    private long maxAgeMillis;

    StaleViewLog(EventReporter log, String prefix) {
        this.log = log;
        this.prefix = prefix;
    }

    /**
     * Records the age of the view.
     *
     * @param ageMillis the time since the view was last known to lack nothing, in milliseconds
     * @param detail what is held
     */
    void record(long ageMillis, String detail) {
        boolean wasStale = maxAgeMillis > 0;
        if (ageMillis > MAX_VIEW_AGE_MILLIS) {
            maxAgeMillis = Math.max(maxAgeMillis, ageMillis);
            if (!wasStale) {
                log.report("view-old", "prefix=%s %s ageMillis=%d".formatted(prefix, detail, ageMillis));
            }
        } else if (wasStale) {
            log.report("view-current", "prefix=%s %s afterMillis=%d".formatted(prefix, detail, maxAgeMillis));
            maxAgeMillis = 0;
        }
    }
}
