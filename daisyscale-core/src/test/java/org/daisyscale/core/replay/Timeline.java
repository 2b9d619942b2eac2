package org.daisyscale.core.replay;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs tasks in simulated time, in the order of their times. Not thread-safe. */
final class Timeline {
    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(Comparator.comparingLong(Entry::atNanos).thenComparingLong(Entry::sequence));
    private long nowNanos = 1;
    private long nextSequence;

    long nowNanos() {
        return nowNanos;
    }

    double nowMillis() {
        return nowNanos / 1e6;
    }

    void after(double millis, Runnable task) {
        at(nowNanos + Math.round(millis * 1e6), task);
    }

    void at(long atNanos, Runnable task) {
        entries.add(new Entry(Math.max(atNanos, nowNanos), nextSequence++, task));
    }

    void runUntilMillis(double endMillis) {
        while (!entries.isEmpty() && entries.peek().atNanos() <= endMillis * 1e6) {
            Entry entry = entries.poll();
            nowNanos = entry.atNanos();
            entry.task().run();
        }
        nowNanos = Math.round(endMillis * 1e6);
    }

    private record Entry(long atNanos, long sequence, Runnable task) {}
}
