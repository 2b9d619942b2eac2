package org.daisyscale.core.quota;

/**
 * What the controller counts for one organisation. Invariant: each request that ran in the window ending now is counted
 * as run or is covered by an outstanding credit. Not thread-safe.
 */
final class OrganisationLedger {
    /** Granularity of the counts, in nanoseconds: at most 100 entries in a window of 5 s. */
    static final long GRANULARITY_NANOS = 50_000_000L;
    /** Shortest time after which credits may become available, in milliseconds: shorter waits cost more messages. */
    private static final long MIN_RETRY_AFTER_MILLIS = 20;

    private final long windowNanos;
    /** When requests ran, at the latest. */
    private final TimedCounts ran = new TimedCounts(GRANULARITY_NANOS);
    /** The credits at routers, by expiry. */
    private final TimedCounts outstanding = new TimedCounts(GRANULARITY_NANOS);

    private long reportedAtTakeOver;

    OrganisationLedger(long windowNanos) {
        this.windowNanos = windowNanos;
    }

    /** Counts credits whose fate is unknown as run when they expire, and drops what left the window. */
    void expire(long nowNanos) {
        ran.add(nowNanos, outstanding.removeThrough(nowNanos));
        ran.removeThrough(nowNanos - windowNanos);
    }

    boolean isEmpty() {
        return ran.total() == 0 && outstanding.total() == 0;
    }

    TimedCounts outstanding() {
        return outstanding;
    }

    /** Records that {@code count} requests ran until {@code nanos}; a negative count takes back earlier records. */
    void recordRan(long nanos, long count) {
        if (count >= 0) {
            ran.add(nanos, count);
        } else {
            ran.removeEarliest(-count);
        }
    }

    void recordAtTakeOver(long count) {
        reportedAtTakeOver += count;
    }

    /** Returns the requests and credits that routers reported to a new controller. */
    long reportedAtTakeOver() {
        return reportedAtTakeOver;
    }

    long usedCount() {
        return ran.total() + outstanding.total();
    }

    /** Returns when {@code count} requests will have left the window, in milliseconds from now. */
    long millisUntilFree(long count, long nowNanos) {
        long nanos = ran.nanosOf(count);
        long leavesNanos = nanos == Long.MAX_VALUE ? nowNanos + windowNanos : nanos + windowNanos;
        return Math.max(MIN_RETRY_AFTER_MILLIS, (leavesNanos - nowNanos) / 1_000_000L);
    }
}
