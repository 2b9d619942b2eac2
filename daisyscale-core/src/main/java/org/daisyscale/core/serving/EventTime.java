package org.daisyscale.core.serving;

/**
 * The earliest time at which an event can have happened that this process learned of later. A limit that applies from
 * the event on is counted from this time, so that it is never exceeded because the news were late. Immutable.
 *
 * @param isKnown whether there is such a time; without one, the event may have happened any time ago
 * @param earliestNanos the time, by the monotonic clock of this process; 0 without one
 */
public record EventTime(boolean isKnown, long earliestNanos) {
    /** The time of an event that may have happened any time ago, as before this process started. */
    public static final EventTime UNKNOWN = new EventTime(false, 0);

    public EventTime {
        earliestNanos = isKnown ? earliestNanos : 0;
    }

    /** Returns the time of an event that did not happen before {@code nanos}. */
    public static EventTime notBefore(long nanos) {
        return new EventTime(true, nanos);
    }

    /** Returns whether {@code millis} may have passed since the event. */
    public boolean mayBePast(long millis, long nowNanos) {
        return !isKnown || nowNanos - earliestNanos >= millis * 1_000_000L;
    }

    /** Returns this time, or {@link #UNKNOWN} if it is not after {@code nanos}, when the clock missed some time. */
    public EventTime unlessBefore(long nanos) {
        return isKnown && earliestNanos - nanos <= 0 ? UNKNOWN : this;
    }

    /** Returns the earlier one of this time and {@code other}. */
    public EventTime earlier(EventTime other) {
        boolean isThisEarlier = !isKnown || (other.isKnown && earliestNanos - other.earliestNanos <= 0);
        return isThisEarlier ? this : other;
    }

    /** Describes how long ago the event may have happened, for the log. */
    public String describe(long nowNanos) {
        return "maxAgeMillis=" + (isKnown ? Math.max(0, nowNanos - earliestNanos) / 1_000_000L : "unknown");
    }
}
