package org.daisyscale.core.internal.serving;

import java.util.Set;
import org.daisyscale.core.serving.ServiceRules;
import org.daisyscale.core.serving.ServingSettings;

/**
 * Limits this router's requests to a cold server to its quota, so that all routers together stay below the rate at
 * which the server crashes. Not thread-safe; confined to the core thread.
 */
final class ColdStartLimiter {
    /** Counting window, in nanoseconds: the second to which the limit applies plus the delay of requests in transit. */
    static final long WINDOW_NANOS = 1_200_000_000L;
    /** Fraction of the limit that is used; a router that freezes sends a request later than it counted the request. */
    private static final double USED_FRACTION = 0.8;

    private final SlidingWindowCounter sent = new SlidingWindowCounter(WINDOW_NANOS);
    private long coldUntilNanos;
    private boolean isCold;

    /** Marks the server as cold until {@code untilNanos} at least. */
    void markColdUntil(long untilNanos) {
        coldUntilNanos = isCold ? Math.max(coldUntilNanos, untilNanos) : untilNanos;
        isCold = true;
    }

    boolean isCold(long nowNanos) {
        isCold = isCold && nowNanos - coldUntilNanos < 0;
        return isCold;
    }

    /** Returns how much longer the server is cold, in milliseconds; 0 when it is warm. */
    long coldLeftMillis(long nowNanos) {
        return isCold(nowNanos) ? (coldUntilNanos - nowNanos) / 1_000_000L : 0;
    }

    /** Returns the number of requests that this router sent to the server within the window. */
    int sentCount(long nowNanos) {
        return sent.count(nowNanos);
    }

    /** Records a request, also to a warm server: it may have become cold without this router knowing yet. */
    void recordSent(long nowNanos) {
        sent.add(nowNanos);
    }

    /** Returns whether one more request may be sent within {@code quota}. */
    boolean allowsRequest(long nowNanos, int quota) {
        return !isCold(nowNanos) || sent.count(nowNanos) < quota;
    }

    /** Returns when the next request may be allowed, in nanoseconds of the monotonic clock. */
    long nextAllowedNanos(long nowNanos, int quota) {
        return quota == 0 ? coldUntilNanos : Math.min(coldUntilNanos, sent.nextExpiryNanos(nowNanos));
    }

    /** Returns whether a request was sent within the window. */
    boolean hasRecentRequests(long nowNanos) {
        return sent.count(nowNanos) > 0;
    }

    /**
     * Returns how many requests this router may send to the server {@code serverId} per window. The quotas of all
     * routers add up to the used fraction of the limit. The remainder of the division goes to the routers that rank
     * first, and the ranking differs from server to server.
     */
    static int quota(String serverId, ServiceRules rules, ServingSettings settings, Set<String> routerIds) {
        double limit = rules.coldRequestsPerSecond() * settings.coldBurstFactor() + settings.coldSlackRequests();
        return share(serverId, (int) Math.floor(limit * USED_FRACTION), settings.routerId(), routerIds);
    }

    /**
     * Returns the share of the router {@code ownId} in {@code total} for {@code subject}. The shares of all routers add
     * up to the total. The remainder of the division goes to the routers that rank first, and the ranking differs from
     * subject to subject.
     */
    static int share(String subject, int total, String ownId, Set<String> routerIds) {
        int routerCount = routerIds.size();
        int ownRank = rank(subject, ownId);
        int rankedBefore = (int) routerIds.stream()
                .filter(routerId -> !routerId.equals(ownId))
                .filter(routerId -> ranksBefore(rank(subject, routerId), routerId, ownRank, ownId))
                .count();
        return (total + routerCount - 1 - rankedBefore) / routerCount;
    }

    private static int rank(String subject, String routerId) {
        return (subject + '/' + routerId).hashCode() * 0x9E3779B1;
    }

    private static boolean ranksBefore(int rank, String routerId, int ownRank, String ownId) {
        return rank < ownRank || (rank == ownRank && routerId.compareTo(ownId) < 0);
    }
}
