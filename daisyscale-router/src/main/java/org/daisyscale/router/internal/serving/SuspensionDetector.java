package org.daisyscale.router.internal.serving;

import java.util.function.LongSupplier;

/**
 * Detects that the VM was suspended. The monotonic clock does not count the time of a suspension, but the time of day
 * does, so that a lease looks valid long after it expired. A step of the time of day looks the same; a lease that is
 * renewed once more than needed does no harm. Not thread-safe; confined to one thread.
 */
final class SuspensionDetector {
    /** Difference of the clocks that counts as a suspension, in milliseconds: above the usual corrections. */
    private static final long MIN_SUSPENSION_MILLIS = 150;

    private final LongSupplier epochMillis;
    private final LongSupplier monotonicNanos;
    private long lastOffsetMillis;

    SuspensionDetector() {
        this(System::currentTimeMillis, System::nanoTime);
    }

    /** Creates a detector that reads these clocks. */
    SuspensionDetector(LongSupplier epochMillis, LongSupplier monotonicNanos) {
        this.epochMillis = epochMillis;
        this.monotonicNanos = monotonicNanos;
        this.lastOffsetMillis = offsetMillis();
    }

    private long offsetMillis() {
        return epochMillis.getAsLong() - monotonicNanos.getAsLong() / 1_000_000L;
    }

    /** Returns whether the VM was suspended since the last call. */
    boolean wasSuspended() {
        long offsetMillis = offsetMillis();
        boolean isAhead = offsetMillis - lastOffsetMillis >= MIN_SUSPENSION_MILLIS;
        lastOffsetMillis = offsetMillis;
        return isAhead;
    }
}
