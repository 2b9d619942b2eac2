package org.daisyscale.core.following;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.daisyscale.core.following.ReadRequest.Kind;

/**
 * The reads of one prefix in the store: which one is pending, and when the next one may start. Not thread-safe;
 * confined to one thread.
 */
final class StoreReads {
    /** Shortest and longest pause after a failed call, in milliseconds. */
    private static final long MIN_PAUSE_MILLIS = 40;

    private static final long MAX_PAUSE_MILLIS = 800;
    private static final int MAX_PAUSE_DOUBLINGS = 6;
    private static final double MIN_JITTER = 0.5;

    private final RandomGenerator random;
    private final long batchMillis;
    private Optional<ReadRequest> pending = Optional.empty();
    private boolean hasStarted;
    private long startedNanos;
    private long notBeforeNanos;
    private int failureCount;

    StoreReads(RandomGenerator random, long batchMillis, long nowNanos) {
        this.random = random;
        this.batchMillis = batchMillis;
        this.notBeforeNanos = nowNanos;
    }

    void recordStarted(ReadRequest request, long nowNanos) {
        pending = Optional.of(request);
        hasStarted = true;
        startedNanos = nowNanos;
    }

    /**
     * Records a response; the next read waits for further changes to read, unless there was nothing to read.
     *
     * @param arrivedNanos the earliest time at which the response may have arrived
     * @return since when the response may be the newest, by the monotonic clock: a listing may be as old as its request
     */
    long recordResponse(int changeCount, boolean isComplete, long arrivedNanos, long nowNanos) {
        boolean wasWatch = isWatchPending();
        pending = Optional.empty();
        failureCount = 0;
        boolean isEmptyWatch = wasWatch && changeCount == 0;
        long sinceNanos = isEmptyWatch ? startedNanos : nowNanos;
        notBeforeNanos = isEmptyWatch && !isComplete ? nowNanos : sinceNanos + Deadlines.nanos(batchMillis);
        return wasWatch ? arrivedNanos : startedNanos;
    }

    void recordFailed(long nowNanos) {
        pending = Optional.empty();
        long pauseMillis = Math.min(MAX_PAUSE_MILLIS, MIN_PAUSE_MILLIS << failureCount);
        failureCount = Math.min(failureCount + 1, MAX_PAUSE_DOUBLINGS);
        notBeforeNanos = nowNanos + (long) (Deadlines.nanos(pauseMillis) * (MIN_JITTER + random.nextDouble()));
    }

    boolean isPending() {
        return pending.isPresent();
    }

    boolean isWatchPending() {
        return pending.map(ReadRequest::kind).filter(Kind.WATCH::equals).isPresent();
    }

    boolean hasJustFailed() {
        return failureCount > 0;
    }

    /** Returns whether the pause after the last read is over. */
    boolean mayStart(long nowNanos) {
        return nowNanos - notBeforeNanos >= 0;
    }

    boolean hasStartedWithin(long millis, long nowNanos) {
        return hasStarted && !Deadlines.hasPassed(millis, startedNanos, nowNanos);
    }

    /** Returns when a router that hears the controller may read again; sooner than {@code millis} after a failure. */
    long againNanos(long millis) {
        boolean isPaused = !hasStarted || hasJustFailed();
        long afterStartNanos = startedNanos + Deadlines.nanos(millis);
        return isPaused || notBeforeNanos - afterStartNanos > 0 ? notBeforeNanos : afterStartNanos;
    }

    /** Adds when the next read may start, or when a pending watch is {@code overdueMillis} old. */
    void addDeadlines(Deadlines deadlines, long overdueMillis) {
        if (pending.isEmpty()) {
            deadlines.add(notBeforeNanos);
        } else if (isWatchPending()) {
            deadlines.add(startedNanos + Deadlines.nanos(overdueMillis));
        }
    }
}
