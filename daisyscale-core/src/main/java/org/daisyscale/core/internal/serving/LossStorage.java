package org.daisyscale.core.internal.serving;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Decides which losses of requests are stored, so that routers know them which start later or could not be told.
 *
 * <p>Invariants: a request that was lost with two servers is stored at once. A first loss is stored after a delay, in
 * which most requests are answered by another server, and not while many requests are lost together, since no single
 * one is the cause then. Each router stores a limited number; first losses are the first to be left out.
 *
 * <p>Not thread-safe; confined to the core thread.
 */
final class LossStorage {
    /** Delay until a first loss is stored, in nanoseconds. */
    private static final long FIRST_LOSS_DELAY_NANOS = 500_000_000L;
    /** The window of the limits: the time after which stored losses are removed, in nanoseconds. */
    private static final long WINDOW_NANOS = RequestLosses.RETENTION_MILLIS * 1_000_000L;

    private static final int MAX_FIRST_LOSSES = 10;
    private static final int MAX_FIRST_LOSSES_PER_SECOND = 2;
    private static final int MAX_REPEATED_LOSSES = 60;

    private final SlidingWindowCounter recentFirstLosses = new SlidingWindowCounter(1_000_000_000L);
    private final SlidingWindowCounter firstLosses = new SlidingWindowCounter(WINDOW_NANOS);
    private final SlidingWindowCounter repeatedLosses = new SlidingWindowCounter(WINDOW_NANOS);
    private final Deque<DelayedLoss> delayedLosses = new ArrayDeque<>();

    /** Returns whether a request that was lost with several servers may be stored, and counts it. */
    boolean tryStoreRepeated(long nowNanos) {
        return tryCount(repeatedLosses, MAX_REPEATED_LOSSES, nowNanos);
    }

    /** Returns whether a request that was lost with one server may be stored, and counts it. */
    boolean tryStoreFirst(long nowNanos) {
        return recentFirstLosses.count(nowNanos) <= MAX_FIRST_LOSSES_PER_SECOND
                && tryCount(firstLosses, MAX_FIRST_LOSSES, nowNanos);
    }

    private static boolean tryCount(SlidingWindowCounter counter, int limit, long nowNanos) {
        boolean isBelowLimit = counter.count(nowNanos) < limit;
        if (isBelowLimit) {
            counter.add(nowNanos);
        }
        return isBelowLimit;
    }

    /** Has the first loss of a request stored later, unless too many wait already. */
    void delayFirst(long fingerprint, long nowNanos) {
        recentFirstLosses.add(nowNanos);
        if (delayedLosses.size() < MAX_FIRST_LOSSES) {
            delayedLosses.add(new DelayedLoss(fingerprint, nowNanos + FIRST_LOSS_DELAY_NANOS));
        }
    }

    /** Returns when {@link #pollDue} returns something next. */
    long nextDueNanos() {
        return delayedLosses.isEmpty()
                ? Long.MAX_VALUE
                : delayedLosses.peekFirst().dueNanos();
    }

    /** Removes and returns the next request that may have to be stored; null if none is due. */
    DelayedLoss pollDue(long nowNanos) {
        DelayedLoss first = delayedLosses.peekFirst();
        return first != null && nowNanos - first.dueNanos() >= 0 ? delayedLosses.pollFirst() : null;
    }

    /** A request whose first loss is stored at {@code dueNanos} unless it is answered before. Immutable. */
    record DelayedLoss(long fingerprint, long dueNanos) {}
}
