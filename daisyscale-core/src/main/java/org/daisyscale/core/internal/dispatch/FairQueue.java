package org.daisyscale.core.internal.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Queues waiting requests, served round-robin over the callers and first in, first out for each caller, so that no
 * caller starves another. Removal takes constant time: {@link #poll} skips removed requests. Not thread-safe; confined
 * to the core thread.
 */
final class FairQueue {
    private final Map<String, Deque<WaitingRequest>> requestsByCaller = new LinkedHashMap<>();
    private final Map<String, WaitingRequest> requestsById = new LinkedHashMap<>();
    private final Map<String, Integer> countByCaller = new LinkedHashMap<>();

    void add(WaitingRequest request) {
        requestsById.put(request.id(), request);
        requestsByCaller
                .computeIfAbsent(request.callerId(), caller -> new ArrayDeque<>())
                .add(request);
        countByCaller.merge(request.callerId(), 1, Integer::sum);
    }

    /** Puts a request that was just polled back at the head of its caller's queue. */
    void putBack(WaitingRequest request) {
        requestsById.put(request.id(), request);
        requestsByCaller
                .computeIfAbsent(request.callerId(), caller -> new ArrayDeque<>())
                .addFirst(request);
        countByCaller.merge(request.callerId(), 1, Integer::sum);
    }

    /** Removes the request {@code id}; returns false when it isn't queued here. */
    boolean remove(String id) {
        WaitingRequest removed = requestsById.remove(id);
        if (removed == null) {
            return false;
        }
        countByCaller.computeIfPresent(removed.callerId(), (caller, count) -> count > 1 ? count - 1 : null);
        return true;
    }

    /** Removes and returns the next request; empty when the queue is empty. */
    Optional<WaitingRequest> poll() {
        while (!requestsById.isEmpty()) {
            String caller = requestsByCaller.keySet().iterator().next();
            Optional<WaitingRequest> request = pollOf(caller);
            if (request.isPresent()) {
                return request;
            }
        }
        requestsByCaller.clear();
        return Optional.empty();
    }

    private Optional<WaitingRequest> pollOf(String caller) {
        Deque<WaitingRequest> requests = requestsByCaller.remove(caller);
        WaitingRequest request = requests.poll();
        while (request != null && !request.equals(requestsById.get(request.id()))) {
            request = requests.poll();
        }
        if (!requests.isEmpty()) {
            requestsByCaller.put(caller, requests);
        }
        if (request != null) {
            remove(request.id());
        }
        return Optional.ofNullable(request);
    }

    int size() {
        return requestsById.size();
    }

    boolean isEmpty() {
        return requestsById.isEmpty();
    }

    /** Returns how many queued requests the round-robin order serves before a new request of {@code caller}. */
    int countBefore(String caller) {
        int own = countByCaller.getOrDefault(caller, 0);
        return countByCaller.values().stream()
                .mapToInt(count -> Math.min(count, own + 1))
                .sum();
    }

    Stream<WaitingRequest> requests() {
        return requestsById.values().stream();
    }

    boolean contains(String id) {
        return requestsById.containsKey(id);
    }
}
