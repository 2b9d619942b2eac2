package org.daisyscale.core.internal.serving;

import java.util.ArrayDeque;
import java.util.Deque;

/** Counts what happened within the last while. Owned by the thread that owns the core. */
final class SlidingCount {
    private final long windowNanos;
    private final Deque<Long> atNanos = new ArrayDeque<>();

    SlidingCount(long windowNanos) {
        this.windowNanos = windowNanos;
    }

    void add(long nowNanos) {
        count(nowNanos);
        atNanos.addLast(nowNanos);
    }

    int count(long nowNanos) {
        while (!atNanos.isEmpty() && nowNanos - atNanos.peekFirst() >= windowNanos) {
            atNanos.removeFirst();
        }
        return atNanos.size();
    }

    /** When the oldest thing counted leaves the window; {@code nowNanos} when there is none. */
    long nextRoomNanos(long nowNanos) {
        return count(nowNanos) == 0 ? nowNanos : atNanos.peekFirst() + windowNanos;
    }
}
