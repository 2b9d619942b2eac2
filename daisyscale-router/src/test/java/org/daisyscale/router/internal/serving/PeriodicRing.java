package org.daisyscale.router.internal.serving;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.daisyscale.router.internal.ring.Ring;

/**
 * A ring in which an item arrives at fixed intervals of a virtual clock. A poll advances the clock instead of waiting.
 * Not thread-safe; confined to one thread.
 */
final class PeriodicRing<T> implements Ring<T> {
    private final AtomicLong clockNanos;
    private final long intervalNanos;
    private final LongFunction<T> items;
    private long nextNanos;
    private long arrivedCount;

    /**
     * Creates the ring; the first item arrives after one interval.
     *
     * @param clockNanos the virtual clock, in nanoseconds
     * @param intervalMillis the time between two items, in milliseconds
     * @param items returns the item by its number, from 1, when it arrives
     */
    PeriodicRing(AtomicLong clockNanos, long intervalMillis, LongFunction<T> items) {
        this.clockNanos = clockNanos;
        this.intervalNanos = Duration.ofMillis(intervalMillis).toNanos();
        this.items = items;
        this.nextNanos = clockNanos.get() + intervalNanos;
    }

    @Override
    public Optional<T> poll(Duration timeout) {
        long endNanos = clockNanos.get() + timeout.toNanos();
        if (nextNanos > endNanos) {
            clockNanos.set(endNanos);
            return Optional.empty();
        }
        clockNanos.set(Math.max(clockNanos.get(), nextNanos));
        nextNanos += intervalNanos;
        arrivedCount++;
        return Optional.of(items.apply(arrivedCount));
    }

    @Override
    public String name() {
        return "periodic";
    }

    @Override
    public boolean offer(T item) {
        return false;
    }

    @Override
    public void put(T item) {
        throw new UnsupportedOperationException("items arrive by the clock only");
    }

    @Override
    public int size() {
        return 0;
    }

    @Override
    public int capacity() {
        return 1;
    }
}
