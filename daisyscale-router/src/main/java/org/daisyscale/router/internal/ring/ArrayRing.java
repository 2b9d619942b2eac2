package org.daisyscale.router.internal.ring;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A {@link Ring} backed by an array and a lock. Delivers each item once, in FIFO order. Thread-safe.
 *
 * @param <T> the type of the items
 */
public final class ArrayRing<T> implements Ring<T> {
    private final String name;
    private final int capacity;
    private final ArrayBlockingQueue<T> queue;

    /** Creates an empty ring that holds at most {@code capacity} items. */
    public ArrayRing(String name, int capacity) {
        this.name = name;
        this.capacity = capacity;
        this.queue = new ArrayBlockingQueue<>(capacity);
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public boolean offer(T item) {
        return queue.offer(item);
    }

    @Override
    public void put(T item) throws InterruptedException {
        queue.put(item);
    }

    @Override
    public Optional<T> poll(Duration timeout) throws InterruptedException {
        return Optional.ofNullable(queue.poll(timeout.toNanos(), TimeUnit.NANOSECONDS));
    }

    @Override
    public int size() {
        return queue.size();
    }

    @Override
    public int capacity() {
        return capacity;
    }
}
