package org.daisyscale.router.internal.duty;

import io.github.resilience4j.core.IntervalFunction;

/**
 * Computes exponential backoff delays with an upper bound and with jitter, so that many routers don't retry at the same
 * time. Not thread-safe.
 */
public final class Backoff {
    private static final double FACTOR = 2;
    private static final double JITTER_RATIO = 0.5;
    private static final int MAX_COUNTED_ATTEMPTS = 30;

    private final IntervalFunction intervals;
    private int attempts;

    /** Creates delays from about {@code minMillis} up to about {@code maxMillis}, each with 50% jitter. */
    public Backoff(long minMillis, long maxMillis) {
        this.intervals = IntervalFunction.ofExponentialRandomBackoff(minMillis, FACTOR, JITTER_RATIO, maxMillis);
    }

    /** Returns the next delay, in milliseconds. */
    public long nextMillis() {
        attempts = Math.min(attempts + 1, MAX_COUNTED_ATTEMPTS);
        return intervals.apply(attempts);
    }

    /** Restarts with the shortest delay. */
    public void reset() {
        attempts = 0;
    }
}
