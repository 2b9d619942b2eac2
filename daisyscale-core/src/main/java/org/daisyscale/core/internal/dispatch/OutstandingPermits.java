package org.daisyscale.core.internal.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.daisyscale.core.Moment;

/**
 * Holds the permits of one dispatch range that were issued and not yet returned. Not thread-safe; confined to the core
 * thread.
 */
final class OutstandingPermits {
    private final Map<String, OutstandingPermit> permitsByOrder = new LinkedHashMap<>();
    private final Set<String> requestIds = new HashSet<>();
    private final Map<String, Integer> runningByKind = new HashMap<>();

    void add(OutstandingPermit permit) {
        permitsByOrder.put(permit.permit().orderId(), permit);
        requestIds.add(permit.request().id());
        runningByKind.merge(permit.request().kind().name(), 1, Integer::sum);
    }

    /** Removes and returns the permit of {@code orderId}; empty when it is not outstanding. */
    Optional<OutstandingPermit> remove(String orderId) {
        OutstandingPermit removed = permitsByOrder.remove(orderId);
        if (removed == null) {
            return Optional.empty();
        }
        requestIds.remove(removed.request().id());
        runningByKind.merge(removed.request().kind().name(), -1, Integer::sum);
        return Optional.of(removed);
    }

    /** Removes and returns the expired permits: their orders have ended, but the permits were never returned. */
    List<OutstandingPermit> removeExpired(Moment now) {
        List<OutstandingPermit> expired = permitsByOrder.values().stream()
                .filter(permit -> permit.expiresNanos() <= now.nanos())
                .toList();
        expired.forEach(permit -> remove(permit.permit().orderId()));
        return expired;
    }

    boolean isEmpty() {
        return permitsByOrder.isEmpty();
    }

    /** Returns whether the permit request {@code id} has an outstanding permit. */
    boolean hasPermitFor(String id) {
        return requestIds.contains(id);
    }

    int runningOfKind(String kind) {
        return runningByKind.getOrDefault(kind, 0);
    }
}
