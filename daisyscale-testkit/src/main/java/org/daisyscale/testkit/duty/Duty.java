package org.daisyscale.testkit.duty;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * A thread that alone owns some state, and the bounded ring that leads to it. Events are taken in the order in which
 * they came. When the ring is full, {@link #offer} says so and nothing was added. Safe for use by several threads.
 *
 * @param <E> the events
 */
public final class Duty<E> implements AutoCloseable {
    private static final long JOIN_TIMEOUT_MILLIS = 2_000;

    private final ArrayBlockingQueue<E> ring;
    private final Thread thread;
    private volatile boolean isClosed;

    private Duty(String name, int capacity, Work<E> work) {
        this.ring = new ArrayBlockingQueue<>(capacity);
        this.thread = new Thread(() -> runUntilClosed(work), name);
        this.thread.setDaemon(true);
    }

    /** Starts a duty named {@code name} whose ring holds at most {@code capacity} events. */
    public static <E> Duty<E> start(String name, int capacity, Work<E> work) {
        Duty<E> duty = new Duty<>(name, capacity, work);
        duty.thread.start();
        return duty;
    }

    /** Adds {@code event} if there is room; false when the ring is full or the duty closed. */
    public boolean offer(E event) {
        return !isClosed && ring.offer(event);
    }

    /** Adds {@code event}, waiting for room. */
    public void put(E event) throws InterruptedException {
        ring.put(event);
    }

    private void runUntilClosed(Work<E> work) {
        while (!isClosed) {
            runOnce(work);
        }
    }

    private void runOnce(Work<E> work) {
        try {
            E event = ring.poll(work.doDue(), TimeUnit.NANOSECONDS);
            if (event != null) {
                work.take(event);
            }
        } catch (InterruptedException e) {
            isClosed = true;
        } catch (RuntimeException e) {
            Logger.error(e, "duty-step-failed duty={}", thread.getName());
        }
    }

    @Override
    public void close() {
        isClosed = true;
        thread.interrupt();
        try {
            thread.join(JOIN_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * What a duty does. Only the duty's own thread calls it.
     *
     * @param <E> the events
     */
    public interface Work<E> {

        /** Handles one event. */
        void take(E event);

        /** Does what is due by now, and says in how many nanoseconds to come back at the latest. */
        long doDue();
    }
}
