package org.daisyscale.core.internal.serving;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Which routers may be sending requests now, so that each can take its share of a bound that holds for all of them.
 *
 * <p>Invariant: at any moment the census of each router that takes a share contains all routers that take one. A router
 * therefore takes a share only while its own registration is in force, once all others must have seen it, and while its
 * view of the others is current; a router that left is counted until its last requests are out of the window.
 *
 * <p>Owned by the thread that owns the core.
 */
final class RouterCensus {
    /** How long a view of the routers counts as current, in milliseconds: two short watches of the store. */
    private static final long VIEW_MILLIS = 2_000;
    /** A registration is known to all routers this long after it was stored, with their last requests over. */
    private static final long SEEN_BY_ALL_NANOS = VIEW_MILLIS * 1_000_000L + ColdGate.WINDOW_NANOS + 200_000_000L;

    private final String ownId;
    private final Map<String, Long> leftNanosById = new HashMap<>();
    private Set<String> present;
    private boolean isRegistered;
    private long registeredNanos;
    private long registeredUntilNanos;
    private boolean isConfirmed;
    private long confirmedNanos;

    RouterCensus(String ownId) {
        this.ownId = ownId;
        this.present = Set.of(ownId);
    }

    /** Takes {@code routerIds} for all routers that are registered. */
    void replace(Set<String> routerIds, long nowNanos) {
        present.stream()
                .filter(routerId -> !routerIds.contains(routerId))
                .forEach(routerId -> leftNanosById.put(routerId, nowNanos));
        present = Set.copyOf(routerIds);
        leftNanosById.keySet().removeAll(present);
    }

    /** The routers taken last are all that are registered now. */
    void confirm(long nowNanos) {
        isConfirmed = true;
        confirmedNanos = nowNanos;
    }

    /** This router has been registered since {@code sinceNanos} and will be until {@code untilNanos} at least. */
    void registered(long sinceNanos, long untilNanos) {
        isRegistered = true;
        registeredNanos = sinceNanos;
        registeredUntilNanos = untilNanos;
    }

    /** Whether all other routers that take a share count this one, and it counts all of them. */
    boolean isComplete(long nowNanos) {
        return isRegistered
                && registeredUntilNanos - nowNanos > 0
                && nowNanos - registeredNanos >= SEEN_BY_ALL_NANOS
                && isConfirmed
                && nowNanos - confirmedNanos < VIEW_MILLIS * 1_000_000L;
    }

    /** The routers that may have sent something within the window, this one included. */
    Set<String> routerIds(long nowNanos) {
        leftNanosById.values().removeIf(leftNanos -> nowNanos - leftNanos >= ColdGate.WINDOW_NANOS);
        Set<String> counted = new HashSet<>(present);
        counted.addAll(leftNanosById.keySet());
        counted.add(ownId);
        return counted;
    }
}
