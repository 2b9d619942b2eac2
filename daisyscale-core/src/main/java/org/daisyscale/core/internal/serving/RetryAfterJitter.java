package org.daisyscale.core.internal.serving;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Adds jitter to retry-after advice, so that callers rejected together don't retry together. Not thread-safe; confined
 * to the core thread.
 */
final class RetryAfterJitter {
    /** Maximum jitter, in milliseconds; also the advice where a short wait is enough. */
    static final long MAX_MILLIS = 150;

    private final UniformRandomProvider random;

    RetryAfterJitter(UniformRandomProvider random) {
        this.random = random;
    }

    /** Returns {@code retryAfterMillis} plus jitter of at most as much, in milliseconds; 0 stays 0. */
    long add(long retryAfterMillis) {
        long jitterMillis = Math.min(retryAfterMillis, MAX_MILLIS);
        return jitterMillis == 0 ? 0 : retryAfterMillis + random.nextLong(jitterMillis);
    }
}
