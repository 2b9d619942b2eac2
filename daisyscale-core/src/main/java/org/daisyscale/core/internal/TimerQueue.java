package org.daisyscale.core.internal;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.daisyscale.core.Moment;

/**
 * Runs tasks when they are due, in the order of their due times. Tasks with the same due time run in the order in which
 * they were scheduled. Not thread-safe; confined to the core thread.
 */
public final class TimerQueue {
    private static final Comparator<Timer> BY_DUE_TIME =
            Comparator.comparingLong(Timer::dueNanos).thenComparingLong(Timer::sequence);

    private final PriorityQueue<Timer> timers = new PriorityQueue<>(BY_DUE_TIME);
    private long nextSequence;

    /** Schedules {@code task} to run once, at or shortly after {@code dueNanos} on the monotonic clock. */
    public void schedule(long dueNanos, Task task) {
        timers.add(new Timer(dueNanos, nextSequence++, task));
    }

    /**
     * Schedules {@code task} for the next {@link #runDue}, and again {@code intervalMillis} milliseconds after each
     * run.
     */
    public void scheduleRepeating(long intervalMillis, Task task) {
        schedule(Long.MIN_VALUE, (now, out) -> runAndReschedule(intervalMillis, task, now, out));
    }

    private void runAndReschedule(long intervalMillis, Task task, Moment now, Outbox out) {
        schedule(
                now.nanosAfterMillis(intervalMillis),
                (next, nextOut) -> runAndReschedule(intervalMillis, task, next, nextOut));
        task.run(now, out);
    }

    /** Runs all tasks that are due at {@code now}, including those scheduled by such a task. */
    public void runDue(Moment now, Outbox out) {
        while (!timers.isEmpty() && timers.peek().dueNanos() <= now.nanos()) {
            timers.poll().task().run(now, out);
        }
    }

    /** Returns when the next task is due, in nanoseconds; {@link Long#MAX_VALUE} for never. */
    public long nextDueNanos() {
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueNanos();
    }

    /** A scheduled task. */
    @FunctionalInterface
    public interface Task {

        /** Runs the task at {@code now}. */
        void run(Moment now, Outbox out);
    }

    private record Timer(long dueNanos, long sequence, Task task) {}
}
