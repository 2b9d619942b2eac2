package org.daisyscale.router.internal.following;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.daisyscale.router.internal.ring.Ring;

/** A ring that never waits, for tests with a virtual clock. Not thread-safe; confined to one thread. */
final class QueueRing implements Ring<FollowEvent> {
    private final Deque<FollowEvent> queue = new ArrayDeque<>();

    @Override
    public String name() {
        return "queue";
    }

    @Override
    public boolean offer(FollowEvent item) {
        return queue.offer(item);
    }

    @Override
    public void put(FollowEvent item) {
        queue.add(item);
    }

    @Override
    public Optional<FollowEvent> poll(Duration timeout) {
        return Optional.ofNullable(queue.poll());
    }

    @Override
    public int size() {
        return queue.size();
    }

    @Override
    public int capacity() {
        return Integer.MAX_VALUE;
    }
}
