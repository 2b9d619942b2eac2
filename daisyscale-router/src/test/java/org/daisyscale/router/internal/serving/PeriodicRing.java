package org.daisyscale.router.internal.serving;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.daisyscale.router.internal.ring.Ring;

/**
 * A ring in which items arrive at fixed intervals of a virtual clock, besides those that are offered. A poll of the
 * empty ring advances the clock instead of waiting. Not thread-safe; confined to one thread.
 */
final class PeriodicRing<T> implements Ring<T> {
    private static final int CAPACITY = 16;

    private final AtomicLong clockNanos;
    private final long intervalNanos;
    private final LongFunction<List<T>> items;
    private final Deque<T> arrived = new ArrayDeque<>();
    private long nextNanos;
    private long arrivalCount;

    /**
     * Creates the ring; the first items arrive after one interval.
     *
     * @param clockNanos the virtual clock, in nanoseconds
     * @param intervalMillis the time between two arrivals, in milliseconds
     * @param items returns the items of an arrival by its number, from 1
     */
    PeriodicRing(AtomicLong clockNanos, long intervalMillis, LongFunction<List<T>> items) {
        this.clockNanos = clockNanos;
        this.intervalNanos = Duration.ofMillis(intervalMillis).toNanos();
        this.items = items;
        this.nextNanos = clockNanos.get() + intervalNanos;
    }

    /** Creates a ring in which only offered items arrive. */
    static <T> PeriodicRing<T> ofOffered(AtomicLong clockNanos) {
        return new PeriodicRing<>(clockNanos, Duration.ofDays(1).toMillis(), number -> List.of());
    }

    @Override
    public Optional<T> poll(Duration timeout) {
        long endNanos = clockNanos.get() + timeout.toNanos();
        while (arrived.isEmpty() && nextNanos <= endNanos) {
            clockNanos.set(Math.max(clockNanos.get(), nextNanos));
            nextNanos += intervalNanos;
            arrivalCount++;
            arrived.addAll(items.apply(arrivalCount));
        }
        if (arrived.isEmpty()) {
            clockNanos.set(endNanos);
        }
        return Optional.ofNullable(arrived.poll());
    }

    @Override
    public String name() {
        return "periodic";
    }

    @Override
    public boolean offer(T item) {
        return arrived.size() < CAPACITY && arrived.add(item);
    }

    @Override
    public void put(T item) {
        if (!offer(item)) {
            throw new IllegalStateException("the ring is full, and its only thread would wait for itself");
        }
    }

    @Override
    public int size() {
        return arrived.size();
    }

    @Override
    public int capacity() {
        return CAPACITY;
    }
}
