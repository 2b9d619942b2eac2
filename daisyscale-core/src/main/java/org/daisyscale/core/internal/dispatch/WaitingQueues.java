package org.daisyscale.core.internal.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** Holds the queues of one dispatch range. Not thread-safe; confined to the core thread. */
final class WaitingQueues {
    private final Map<QueueKey, FairQueue> queues = new LinkedHashMap<>();

    FairQueue queue(QueueKey queueKey) {
        return queues.computeIfAbsent(queueKey, created -> new FairQueue());
    }

    List<QueueKey> keys() {
        return List.copyOf(queues.keySet());
    }

    int size() {
        return queues.values().stream().mapToInt(FairQueue::size).sum();
    }

    /** Returns whether the permit request {@code id} waits in any queue. */
    boolean contains(String id) {
        return queues.values().stream().anyMatch(queue -> queue.contains(id));
    }

    /** Removes and returns the requests that match {@code unwanted}. */
    List<WaitingRequest> removeIf(Predicate<WaitingRequest> unwanted) {
        List<WaitingRequest> removed = new ArrayList<>();
        for (FairQueue queue : queues.values()) {
            List<WaitingRequest> ofQueue = queue.requests().filter(unwanted).toList();
            ofQueue.forEach(request -> queue.remove(request.id()));
            removed.addAll(ofQueue);
        }
        queues.values().removeIf(FairQueue::isEmpty);
        return removed;
    }
}
