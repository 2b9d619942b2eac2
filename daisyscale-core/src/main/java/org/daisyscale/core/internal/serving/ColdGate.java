package org.daisyscale.core.internal.serving;

import java.util.Set;
import org.daisyscale.core.serving.ServiceRules;
import org.daisyscale.core.serving.ServingSettings;

/**
 * Lets this router's share of requests through to a server while it is cold, so that all routers together keep below
 * the rate at which it crashes. Owned by the thread that owns the core.
 */
final class ColdGate {
    /** Longer than the second for which the bound holds, by what requests may be delayed on their way. */
    static final long WINDOW_NANOS = 1_200_000_000L;
    /** The part of the bound that is used, since a frozen router sends later than it decided. */
    private static final double USED_PART = 0.8;

    private final SlidingCount sent = new SlidingCount(WINDOW_NANOS);
    private long coldUntilNanos;
    private boolean isCold;

    /** The server is cold until {@code untilNanos} at least. */
    void coldUntil(long untilNanos) {
        coldUntilNanos = isCold ? Math.max(coldUntilNanos, untilNanos) : untilNanos;
        isCold = true;
    }

    boolean isCold(long nowNanos) {
        isCold = isCold && nowNanos - coldUntilNanos < 0;
        return isCold;
    }

    /** How much longer the server is cold, in milliseconds; 0 when it is warm. */
    long coldLeftMillis(long nowNanos) {
        return isCold(nowNanos) ? (coldUntilNanos - nowNanos) / 1_000_000L : 0;
    }

    /** The requests that this router sent to the server within the window. */
    int sentCount(long nowNanos) {
        return sent.count(nowNanos);
    }

    /** Counted while the server seems warm too: it may have turned cold before this router hears of it. */
    void noteSent(long nowNanos) {
        sent.add(nowNanos);
    }

    /** Whether one more request may be sent. */
    boolean isOpen(long nowNanos, int share) {
        return !isCold(nowNanos) || sent.count(nowNanos) < share;
    }

    /** When the gate may open again. */
    long opensNanos(long nowNanos, int share) {
        return share == 0 ? coldUntilNanos : Math.min(coldUntilNanos, sent.nextRoomNanos(nowNanos));
    }

    /** Whether a request was sent within the window. */
    boolean isRecent(long nowNanos) {
        return sent.count(nowNanos) > 0;
    }

    /**
     * The requests that this router may send to the server {@code serverId} in a window. The shares of all routers add
     * up to the bound; which routers get what is left over differs from server to server.
     */
    static int share(String serverId, ServiceRules rules, ServingSettings settings, Set<String> routerIds) {
        double bound = rules.coldRequestsPerSecond() * settings.coldBurstFactor() + settings.coldSlackRequests();
        int total = (int) Math.floor(bound * USED_PART);
        int count = routerIds.size();
        int ownOrder = order(serverId, settings.routerId());
        int before = (int) routerIds.stream()
                .filter(routerId -> !routerId.equals(settings.routerId()))
                .filter(routerId -> isBefore(order(serverId, routerId), routerId, ownOrder, settings.routerId()))
                .count();
        return (total + count - 1 - before) / count;
    }

    private static int order(String serverId, String routerId) {
        return (serverId + '/' + routerId).hashCode() * 0x9E3779B1;
    }

    private static boolean isBefore(int order, String routerId, int ownOrder, String ownId) {
        return order < ownOrder || (order == ownOrder && routerId.compareTo(ownId) < 0);
    }
}
