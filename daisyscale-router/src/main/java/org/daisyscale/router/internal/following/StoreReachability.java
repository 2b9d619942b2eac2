package org.daisyscale.router.internal.following;

import java.util.function.LongSupplier;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.serving.StoreException;

/** Tracks whether the store responds to the duty that follows one prefix. Not thread-safe; confined to one thread. */
final class StoreReachability {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final String prefix;
    private final long minOutageMillis;
    private final LongSupplier clockNanos;
    private boolean isUnreachable;
    private long unreachableSinceNanos;
    private boolean hasRecovered;
    private long recoveredNanos;

    /**
     * Creates a tracker of a store that responds.
     *
     * @param minOutageMillis the shortest outage after which the store counts as recovered, in milliseconds
     */
    StoreReachability(String prefix, long minOutageMillis, LongSupplier clockNanos) {
        this.prefix = prefix;
        this.minOutageMillis = minOutageMillis;
        this.clockNanos = clockNanos;
    }

    boolean isUnreachable() {
        return isUnreachable;
    }

    /**
     * Records a failed call. A router to which the controller reports changes calls the store only later, so the outage
     * counts from when the view was last known to be complete.
     *
     * @param revision the newest revision known
     * @param ageMillis the time since the view was last known to be complete, in milliseconds
     */
    void recordFailure(StoreException failure, long revision, long ageMillis) {
        if (!isUnreachable) {
            isUnreachable = true;
            unreachableSinceNanos = clockNanos.getAsLong() - ageMillis * NANOS_PER_MILLI;
            EventLog.warn("store-lost", "prefix=" + prefix + " revision=" + revision + " reason=" + failure.detail());
        }
    }

    /** Records a response; {@code revision} is the newest one known. */
    void recordResponse(long revision) {
        if (isUnreachable) {
            isUnreachable = false;
            long nowNanos = clockNanos.getAsLong();
            long outageMillis = (nowNanos - unreachableSinceNanos) / NANOS_PER_MILLI;
            if (outageMillis >= minOutageMillis) {
                hasRecovered = true;
                recoveredNanos = nowNanos;
            }
            EventLog.info(
                    "store-regained",
                    "prefix=%s revision=%d absentMillis=%d".formatted(prefix, revision, outageMillis));
        }
    }

    /** Records that the controller, which reaches the store, holds the same: an outage is over for this view. */
    void recordConfirmed(long revision) {
        recordResponse(revision);
    }

    /**
     * Returns whether the store recovered less than {@code graceMillis} ago from an outage that was not too short; a
     * shorter one after it changes nothing.
     */
    boolean hasJustRecovered(long graceMillis) {
        return hasRecovered && clockNanos.getAsLong() - recoveredNanos < graceMillis * NANOS_PER_MILLI;
    }
}
