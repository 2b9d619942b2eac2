package org.daisyscale.router.internal.serving;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * How far one event loop is behind. A loop reads what had come before its turn began, and in a long turn, or one for
 * which it got no processor time, that was long ago: a task that is due shows how long. Used by the loop's thread.
 */
final class LoopLag {
    /** The time between two looks, in milliseconds. */
    private static final long LOOK_MILLIS = 200;

    private static final long LOOK_NANOS = TimeUnit.MILLISECONDS.toNanos(LOOK_MILLIS);

    private long dueNanos = System.nanoTime() + LOOK_NANOS;
    private long lastBehindNanos;

    private LoopLag() {}

    /** Measures {@code loop} until it ends. */
    static LoopLag start(EventLoop loop) {
        LoopLag lag = new LoopLag();
        loop.scheduleWithFixedDelay(lag::look, LOOK_MILLIS, LOOK_MILLIS, TimeUnit.MILLISECONDS);
        return lag;
    }

    private void look() {
        lastBehindNanos = overdueNanos();
        dueNanos = System.nanoTime() + LOOK_NANOS;
    }

    private long overdueNanos() {
        return Math.max(0, System.nanoTime() - dueNanos);
    }

    /** How long ago, at least, what the loop reads now had come, or what it read at its last look; in nanoseconds. */
    long behindNanos() {
        return Math.max(overdueNanos(), lastBehindNanos);
    }
}
