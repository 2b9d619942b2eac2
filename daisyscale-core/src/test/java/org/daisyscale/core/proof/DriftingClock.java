package org.daisyscale.core.proof;

import org.daisyscale.core.Moment;

/**
 * A monotonic clock that drifts from true time, with a wall clock that is ahead or behind. Immutable.
 *
 * @param offsetNanos the monotonic time at true time 0, in nanoseconds
 * @param driftPerMille the drift of the monotonic clock, in thousandths of true time; positive if it runs fast
 * @param skewMillis how far the wall clock is ahead of true time, in milliseconds
 */
record DriftingClock(long offsetNanos, double driftPerMille, long skewMillis) {
    private static final long START_EPOCH_MILLIS = 1_790_000_000_000L;

    long nanos(long trueNanos) {
        return offsetNanos + trueNanos + (long) (trueNanos * driftPerMille / 1_000);
    }

    long millis(long trueNanos) {
        return nanos(trueNanos) / VirtualScheduler.NANOS_PER_MILLI;
    }

    /** Returns a true time, in nanoseconds, just after the monotonic clock shows {@code nanos}. */
    long trueNanos(long nanos) {
        return (long) Math.ceil((nanos - offsetNanos) / (1 + driftPerMille / 1_000)) + 1;
    }

    Moment moment(long trueNanos) {
        return new Moment(
                nanos(trueNanos), START_EPOCH_MILLIS + trueNanos / VirtualScheduler.NANOS_PER_MILLI + skewMillis);
    }
}
