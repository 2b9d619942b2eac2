package org.daisyscale.router.internal.following;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Simulated time with the events that are due, and the randomness of one run. Not thread-safe. */
final class SimulatedTime {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long START_MILLIS = 1_000;

    private final SplittableRandom random;
    private final PriorityQueue<Due> events =
            new PriorityQueue<>(Comparator.comparingLong(Due::atMillis).thenComparingLong(Due::sequence));
    private long nowMillis = START_MILLIS;
    private long sequence;

    SimulatedTime(long seed) {
        this.random = new SplittableRandom(seed);
    }

    SplittableRandom random() {
        return random;
    }

    long nowMillis() {
        return nowMillis;
    }

    long nowNanos() {
        return nowMillis * NANOS_PER_MILLI;
    }

    void after(long millis, Runnable task) {
        events.add(new Due(nowMillis + millis, sequence++, task));
    }

    /** Repeats {@code task} after random pauses. */
    void repeat(long minMillis, long maxMillis, Runnable task) {
        after(random.nextLong(minMillis, maxMillis + 1), () -> {
            task.run();
            repeat(minMillis, maxMillis, task);
        });
    }

    void runFor(long millis) {
        long endMillis = nowMillis + millis;
        while (!events.isEmpty() && events.peek().atMillis() <= endMillis) {
            Due due = events.remove();
            nowMillis = due.atMillis();
            due.task().run();
        }
        nowMillis = endMillis;
    }

    private record Due(long atMillis, long sequence, Runnable task) {}

    /** A task that runs once, however often it is due. */
    static final class Once implements Runnable {
        private final Runnable task;
        private boolean hasRun;

        Once(Runnable task) {
            this.task = task;
        }

        @Override
        public void run() {
            if (!hasRun) {
                hasRun = true;
                task.run();
            }
        }
    }
}
