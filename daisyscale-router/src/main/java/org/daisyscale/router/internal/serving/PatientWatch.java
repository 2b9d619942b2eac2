package org.daisyscale.router.internal.serving;

import java.time.Duration;

/** For items without a time bound: the watch waits as long as its connection lives. Stateless. */
final class PatientWatch implements WatchGuard {
    /** The wait of one watch, in milliseconds; the store allows 30 s. */
    static final long WAIT_MILLIS = 20_000;

    @Override
    public Duration nextWait() {
        return Duration.ofMillis(WAIT_MILLIS);
    }

    @Override
    public boolean isOverdue(long revision, long startNanos) {
        return false;
    }

    @Override
    public void reached(long revision) {
        // Nobody follows this watch.
    }
}
