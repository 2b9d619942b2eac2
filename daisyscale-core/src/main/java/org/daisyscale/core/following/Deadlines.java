package org.daisyscale.core.following;

/** The earliest of several points in time that lie ahead. Not thread-safe; confined to one thread. */
final class Deadlines {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final long nowNanos;
    private long earliestNanos;

    /** Creates deadlines of which the latest is {@code maxMillis} after {@code nowNanos}. */
    Deadlines(long nowNanos, long maxMillis) {
        this.nowNanos = nowNanos;
        this.earliestNanos = nowNanos + nanos(maxMillis);
    }

    static long nanos(long millis) {
        return millis * NANOS_PER_MILLI;
    }

    static long millis(long nanos) {
        return nanos / NANOS_PER_MILLI;
    }

    static boolean hasPassed(long millis, long sinceNanos, long nowNanos) {
        return nowNanos - sinceNanos >= nanos(millis);
    }

    /** Adds a point in time, unless it has passed. */
    void add(long dueNanos) {
        if (dueNanos - nowNanos > 0 && dueNanos - earliestNanos < 0) {
            earliestNanos = dueNanos;
        }
    }

    /** Returns the time until the earliest one has passed, in milliseconds. */
    long waitMillis() {
        return millis(earliestNanos - nowNanos) + 1;
    }
}
