package org.daisyscale.core.internal.serving;

import java.util.ArrayDeque;
import java.util.Deque;

/** Counts events within a sliding time window. Not thread-safe; confined to the core thread. */
final class SlidingWindowCounter {
    private final long windowNanos;
    private final Deque<Long> recordedNanos = new ArrayDeque<>();

    SlidingWindowCounter(long windowNanos) {
        this.windowNanos = windowNanos;
    }

    void add(long nowNanos) {
        count(nowNanos);
        recordedNanos.addLast(nowNanos);
    }

    int count(long nowNanos) {
        while (!recordedNanos.isEmpty() && nowNanos - recordedNanos.peekFirst() >= windowNanos) {
            recordedNanos.removeFirst();
        }
        return recordedNanos.size();
    }

    /** Returns when the oldest event leaves the window; {@code nowNanos} when the window is empty. */
    long nextExpiryNanos(long nowNanos) {
        return count(nowNanos) == 0 ? nowNanos : recordedNanos.peekFirst() + windowNanos;
    }
}
