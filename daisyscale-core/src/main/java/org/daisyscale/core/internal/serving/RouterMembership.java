package org.daisyscale.core.internal.serving;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks which routers may be sending requests now, so that each can use its fraction of a limit that applies to all of
 * them together.
 *
 * <p>Invariant: at any moment, each router that uses a fraction counts all routers that use one. A router therefore
 * uses a fraction only while its own registration is in force, after all others must have seen that registration, and
 * while its view of the others is current. A router that left is counted until its last requests are out of the window.
 *
 * <p>Not thread-safe; confined to the core thread.
 */
final class RouterMembership {
    /** How long a view of the routers counts as current, in milliseconds; covers two short watches of the store. */
    private static final long VIEW_LIFETIME_MILLIS = 2_000;
    /** Time after which all routers know a registration and requests they sent without it are out of the window. */
    private static final long SEEN_BY_ALL_NANOS =
            VIEW_LIFETIME_MILLIS * 1_000_000L + ColdStartLimiter.WINDOW_NANOS + 200_000_000L;

    private final String ownId;
    private final Map<String, Long> leftNanosById = new HashMap<>();
    private Set<String> present;
    private boolean isRegistered;
    private long registeredNanos;
    private long registeredUntilNanos;
    private boolean isConfirmed;
    private long confirmedNanos;

    RouterMembership(String ownId) {
        this.ownId = ownId;
        this.present = Set.of(ownId);
    }

    /** Replaces the set of registered routers by {@code routerIds}. */
    void replace(Set<String> routerIds, long nowNanos) {
        present.stream()
                .filter(routerId -> !routerIds.contains(routerId))
                .forEach(routerId -> leftNanosById.put(routerId, nowNanos));
        present = Set.copyOf(routerIds);
        leftNanosById.keySet().removeAll(present);
    }

    /** Records that the current set contains all routers that were registered at {@code nanos}. */
    void confirm(long nanos) {
        if (!isConfirmed || nanos - confirmedNanos > 0) {
            isConfirmed = true;
            confirmedNanos = nanos;
        }
    }

    /** Records that this router is registered from {@code sinceNanos} until {@code untilNanos} at least. */
    void recordRegistration(long sinceNanos, long untilNanos) {
        isRegistered = true;
        registeredNanos = sinceNanos;
        registeredUntilNanos = untilNanos;
    }

    /** Returns whether this router and all others that use a fraction of the limit count each other. */
    boolean isComplete(long nowNanos) {
        return isRegistered
                && registeredUntilNanos - nowNanos > 0
                && nowNanos - registeredNanos >= SEEN_BY_ALL_NANOS
                && isConfirmed
                && nowNanos - confirmedNanos < VIEW_LIFETIME_MILLIS * 1_000_000L;
    }

    /** Returns the ids of the routers that may have sent requests within the window, including this router. */
    Set<String> routerIds(long nowNanos) {
        leftNanosById.values().removeIf(leftNanos -> nowNanos - leftNanos >= ColdStartLimiter.WINDOW_NANOS);
        Set<String> counted = new HashSet<>(present);
        counted.addAll(leftNanosById.keySet());
        counted.add(ownId);
        return counted;
    }
}
