package org.daisyscale.core.internal.entry;

import io.github.resilience4j.core.IntervalFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Computes the delays between attempts: exponential backoff with jitter. Not thread-safe; confined to the core thread.
 */
final class Backoff {
    private static final double MULTIPLIER = 2.0;
    private static final double MIN_JITTER = 0.5;
    private static final double MAX_JITTER = 1.5;

    private final UniformRandomProvider random;

    Backoff(long seed) {
        this.random = RandomSource.SPLIT_MIX_64.create(seed);
    }

    /** Returns the delay before the next attempt after {@code attemptCount} attempts, in milliseconds, at least 1. */
    long delayMillis(long firstMillis, int attemptCount) {
        long delay = IntervalFunction.ofExponentialBackoff(Math.max(1, firstMillis), MULTIPLIER)
                .apply(Math.max(1, attemptCount));
        double jitter = MIN_JITTER + (MAX_JITTER - MIN_JITTER) * random.nextDouble();
        return Math.max(1, Math.round(delay * jitter));
    }
}
