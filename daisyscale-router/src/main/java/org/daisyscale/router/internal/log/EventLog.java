package org.daisyscale.router.internal.log;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * Writes log lines that start with a stable event name. Above debug level, at most {@link #LINES_PER_SECOND} lines of
 * one event are written per second; the rest are suppressed, and a {@code lines-left-out} line with their count
 * precedes the event's next line. Safe for use by several threads.
 *
 * <pre>{@code
 * EventLog.warn("order-refused", "requestId=r-17 server=s-3");
 * }</pre>
 */
public final class EventLog {
    static final int LINES_PER_SECOND = 20;
    private static final Map<String, LineRateLimiter> LIMITER_BY_EVENT = new ConcurrentHashMap<>();

    private EventLog() {}

    /** Writes a line for developers, without a rate limit. */
    public static void debug(String event, String detail) {
        Logger.debug("{} {}", event, detail);
    }

    /** Writes a line about normal operation. */
    public static void info(String event, String detail) {
        if (isWithinLimit(event)) {
            Logger.info("{} {}", event, detail);
        }
    }

    /** Writes a line about a condition that operators should check. */
    public static void warn(String event, String detail) {
        if (isWithinLimit(event)) {
            Logger.warn("{} {}", event, detail);
        }
    }

    /** Writes a line about a condition that operators should check, with its cause. */
    public static void warn(String event, String detail, Throwable cause) {
        if (isWithinLimit(event)) {
            Logger.warn(cause, "{} {}", event, detail);
        }
    }

    /** Writes a line about a fault. */
    public static void error(String event, String detail) {
        if (isWithinLimit(event)) {
            Logger.error("{} {}", event, detail);
        }
    }

    /** Writes a line about a fault with its cause. */
    public static void error(String event, String detail, Throwable cause) {
        if (isWithinLimit(event)) {
            Logger.error(cause, "{} {}", event, detail);
        }
    }

    private static boolean isWithinLimit(String event) {
        LineRateLimiter limiter =
                LIMITER_BY_EVENT.computeIfAbsent(event, unused -> new LineRateLimiter(LINES_PER_SECOND));
        long suppressedCount = limiter.acquire(System.nanoTime());
        if (suppressedCount > 0) {
            Logger.warn("lines-left-out event={} count={}", event, suppressedCount);
        }
        return suppressedCount >= 0;
    }

    /** Limits the rate of one event's lines by a fixed window of one second. Safe for use by several threads. */
    static final class LineRateLimiter {
        private static final long SECOND_NANOS = 1_000_000_000L;

        private final int linesPerSecond;
        private final AtomicLong suppressedCount = new AtomicLong();
        private long windowStartNanos;
        private int windowLineCount;
        private boolean isWindowStarted;

        LineRateLimiter(int linesPerSecond) {
            this.linesPerSecond = linesPerSecond;
        }

        /** Returns -1 if the line must be suppressed, else how many were suppressed since the last one written. */
        synchronized long acquire(long nowNanos) {
            if (!isWindowStarted || nowNanos - windowStartNanos >= SECOND_NANOS) {
                isWindowStarted = true;
                windowStartNanos = nowNanos;
                windowLineCount = 0;
            }
            windowLineCount++;
            if (windowLineCount > linesPerSecond) {
                suppressedCount.incrementAndGet();
                return -1;
            }
            return suppressedCount.getAndSet(0);
        }
    }
}
