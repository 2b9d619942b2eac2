package org.daisyscale.core;

/**
 * The time of an event, passed to the core because the core reads no clock. Immutable.
 *
 * @param nanos the router's monotonic clock, in nanoseconds
 * @param epochMillis the router's wall clock, in milliseconds since the epoch; used only for comparison with the
 *     timestamps in callers' ids
 */
public record Moment(long nanos, long epochMillis) {

    /** Returns the monotonic time {@code millis} milliseconds after this moment, in nanoseconds. */
    public long nanosAfterMillis(long millis) {
        return nanos + millis * 1_000_000L;
    }
}
