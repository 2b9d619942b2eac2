package org.daisyscale.router.internal.serving;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Measures the lag of one event loop. A loop reads data that arrived before its turn began; after a long turn, or one
 * in which the thread got no processor time, the data arrived long before it is read. The delay of a scheduled task
 * shows how long. Not thread-safe; confined to the thread of the loop.
 */
final class LoopLag {
    /** Interval between samples, in milliseconds. */
    private static final long SAMPLE_INTERVAL_MILLIS = 100;

    /** How long the largest lag counts as recent, in nanoseconds: what waited meanwhile is read after several turns. */
    private static final long RECENT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final long SAMPLE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(SAMPLE_INTERVAL_MILLIS);

    private long dueNanos = System.nanoTime() + SAMPLE_INTERVAL_NANOS;
    private long lastLagNanos;
    private long peakLagNanos = RECENT_NANOS;
    private long peakNanos = System.nanoTime();

    private LoopLag() {}

    /** Starts measuring {@code loop} until the loop ends. */
    static LoopLag start(EventLoop loop) {
        LoopLag lag = new LoopLag();
        loop.scheduleWithFixedDelay(lag::sample, SAMPLE_INTERVAL_MILLIS, SAMPLE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        return lag;
    }

    private void sample() {
        lastLagNanos = overdueNanos();
        if (lastLagNanos >= recentLagNanos()) {
            peakLagNanos = lastLagNanos;
            peakNanos = System.nanoTime();
        }
        dueNanos = System.nanoTime() + SAMPLE_INTERVAL_NANOS;
    }

    private long overdueNanos() {
        return Math.max(0, System.nanoTime() - dueNanos);
    }

    /**
     * Returns the lag now or at the last sample, whichever is larger, in nanoseconds. The data that the loop reads now,
     * or read at the last sample, may have waited at least this long.
     */
    long lagNanos() {
        return Math.max(overdueNanos(), lastLagNanos);
    }

    /**
     * Returns the largest lag of the last second, in nanoseconds; a second during the first second, in which the lag
     * before is unknown.
     */
    long recentLagNanos() {
        boolean isPeakRecent = System.nanoTime() - peakNanos < RECENT_NANOS;
        return Math.max(lagNanos(), isPeakRecent ? peakLagNanos : 0);
    }
}
