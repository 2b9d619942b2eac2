package org.daisyscale.router.internal.serving;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The other routers that the controller connects to: those that are registered and, for a time, those whose
 * registration ended. A router that does not reach the store loses its registration, and then only the controller can
 * tell it what changed.
 *
 * <p>Not thread-safe.
 */
final class KnownRouters {
    /** How long a router without a registration and without a connection is kept, in milliseconds. */
    static final long UNREGISTERED_MILLIS = 30_000;

    private final Map<String, RouterEntry> routerById = new HashMap<>();
    private final Map<String, Long> unregisteredNanosById = new HashMap<>();

    /** Adds a registered router, or updates it. */
    void add(RouterEntry router) {
        routerById.put(router.routerId(), router);
        unregisteredNanosById.remove(router.routerId());
    }

    /** Records that the registration of the router ended at {@code nowNanos} of the monotonic clock. */
    void markUnregistered(String routerId, long nowNanos) {
        if (routerById.containsKey(routerId)) {
            unregisteredNanosById.put(routerId, nowNanos);
        }
    }

    Collection<RouterEntry> all() {
        return routerById.values();
    }

    /** Removes and returns the routers that have had neither a registration nor a connection for too long. */
    List<RouterEntry> removeExpired(Predicate<String> isConnected, long nowNanos) {
        unregisteredNanosById.replaceAll((routerId, sinceNanos) -> isConnected.test(routerId) ? nowNanos : sinceNanos);
        List<RouterEntry> removed = new ArrayList<>();
        unregisteredNanosById.entrySet().removeIf(entry -> {
            boolean isExpired = nowNanos - entry.getValue() >= UNREGISTERED_MILLIS * 1_000_000L;
            if (isExpired) {
                removed.add(routerById.remove(entry.getKey()));
            }
            return isExpired;
        });
        return removed;
    }
}
