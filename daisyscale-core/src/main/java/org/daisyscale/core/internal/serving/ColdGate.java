package org.daisyscale.core.internal.serving;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.daisyscale.core.serving.ServiceRules;
import org.daisyscale.core.serving.ServingSettings;

/**
 * Lets this router's share of requests through to a server while it is cold, so that all routers together keep below
 * the rate at which it crashes. Where the share is less than one, only some routers, picked by hash, send at all.
 * Owned by the thread that owns the core.
 */
final class ColdGate {
    /** Longer than the second for which the bound holds, by what requests may be delayed on their way. */
    private static final long WINDOW_NANOS = 1_200_000_000L;
    /** The part of the bound that is used, since routers may not know of each other yet. */
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

    /** The requests that were sent to the cold server within the window. */
    int sentCount(long nowNanos) {
        return sent.count(nowNanos);
    }

    void noteSent(long nowNanos) {
        if (isCold) {
            sent.add(nowNanos);
        }
    }

    /** Whether one more request may be sent. */
    boolean isOpen(long nowNanos, int share) {
        return !isCold(nowNanos) || sent.count(nowNanos) < share;
    }

    /** When the gate may open again. */
    long opensNanos(long nowNanos, int share) {
        return share == 0 ? coldUntilNanos : Math.min(coldUntilNanos, sent.nextRoomNanos(nowNanos));
    }

    /** The requests that this router may send to the server {@code serverId} in a window. */
    static int share(String serverId, ServiceRules rules, ServingSettings settings, Set<String> routerIds) {
        double bound = rules.coldRequestsPerSecond() * settings.coldBurstFactor() + settings.coldSlackRequests();
        int total = (int) Math.floor(bound * USED_PART);
        int routers = Math.max(1, routerIds.size());
        if (total >= routers) {
            return total / routers;
        }
        List<String> chosen = routerIds.stream()
                .sorted(Comparator.comparingInt(routerId -> (serverId + '/' + routerId).hashCode() * 0x9E3779B1))
                .limit(total)
                .toList();
        return chosen.contains(settings.routerId()) ? 1 : 0;
    }
}
