package org.daisyscale.core.proof;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs tasks in the order of their virtual times; tasks of the same time run in the order in which they were scheduled.
 * Not thread-safe; confined to the thread of the run.
 */
final class VirtualScheduler {
    static final long NANOS_PER_MILLI = 1_000_000L;

    private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledTask::atNanos).thenComparingLong(ScheduledTask::sequence));
    private long nowNanos;
    private long nextSequence;

    long nowNanos() {
        return nowNanos;
    }

    long nowMillis() {
        return nowNanos / NANOS_PER_MILLI;
    }

    void scheduleAt(long atNanos, Runnable task) {
        tasks.add(new ScheduledTask(Math.max(atNanos, nowNanos), nextSequence++, task));
    }

    void scheduleAfterMillis(double delayMillis, Runnable task) {
        scheduleAt(nowNanos + (long) (delayMillis * NANOS_PER_MILLI), task);
    }

    void runUntilMillis(long endMillis) {
        while (!tasks.isEmpty() && tasks.peek().atNanos() <= endMillis * NANOS_PER_MILLI) {
            ScheduledTask next = tasks.poll();
            nowNanos = next.atNanos();
            next.task().run();
        }
        nowNanos = endMillis * NANOS_PER_MILLI;
    }

    private record ScheduledTask(long atNanos, long sequence, Runnable task) {}
}
