package org.daisyscale.core.internal.serving;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/** Holds the timers of open requests, ordered by time. Not thread-safe; confined to the core thread. */
final class RequestTimers {
    private final PriorityQueue<Timer> timers = new PriorityQueue<>(Comparator.comparingLong(Timer::atNanos));

    void schedule(long atNanos, long requestId, Purpose purpose) {
        timers.add(new Timer(atNanos, requestId, purpose));
    }

    /** Removes and returns a timer that is due; empty if none is. */
    Optional<Timer> pollDue(long nowNanos) {
        if (timers.isEmpty() || timers.peek().atNanos() - nowNanos > 0) {
            return Optional.empty();
        }
        return Optional.of(timers.poll());
    }

    /** Returns when the next timer is due, by the monotonic clock; {@link Long#MAX_VALUE} for never. */
    long nextDueNanos() {
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().atNanos();
    }

    /** What happens to the request when the timer is due. */
    enum Purpose {
        /** The request times out. */
        DEADLINE,
        /** The request is placed again. */
        PLACE
    }

    /** A timer of one request. Immutable. */
    record Timer(long atNanos, long requestId, Purpose purpose) {}
}
