package org.daisyscale.router.internal.ring;

import java.time.Duration;
import java.util.Optional;

/**
 * A bounded queue between duties. Implementations are thread-safe; a waiting thread blocks and never spins.
 *
 * <pre>{@code
 * Ring<Event> events = new ArrayRing<>("decisions", 65_536);
 * if (!events.offer(event)) {
 *     reject(event);
 * }
 * }</pre>
 *
 * @param <T> the type of the items
 */
public interface Ring<T> {

    /** Returns the name, for metrics and logs. */
    String name();

    /** Adds {@code item} and returns true; returns false and adds nothing if the ring is full. */
    boolean offer(T item);

    /** Adds {@code item}; blocks while the ring is full. */
    void put(T item) throws InterruptedException;

    /** Removes and returns the oldest item; waits at most {@code timeout} and returns empty if none arrives. */
    Optional<T> poll(Duration timeout) throws InterruptedException;

    /** Returns the number of queued items. */
    int size();

    /** Returns the maximum number of queued items. */
    int capacity();
}
