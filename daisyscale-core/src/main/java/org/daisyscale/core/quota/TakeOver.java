package org.daisyscale.core.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What a new controller has to assume about credits and requests that its predecessor knew of: all that was not
 * reported to it is outstanding until the credits expire, and then counts as run. Once all routers that may have
 * credits have reported, only requests before the latest start of their processes are unknown. Not thread-safe.
 */
final class TakeOver {
    /**
     * Fraction of the overshoot of the bound that is granted, so that two take-overs within one window stay below the
     * bound; the rest covers requests that run later than counted.
     */
    private static final double OVERSHOOT_FRACTION = 0.9;
    /** Fraction of the slack of the bound that is granted; half of the slack is for the routers' local reserve. */
    private static final double SLACK_FRACTION = 0.5;

    private final QuotaSettings settings;
    private final long windowNanos;
    private final long startedNanos;
    private long endNanos;
    private boolean isComplete;

    TakeOver(QuotaSettings settings, long startedNanos) {
        this.settings = settings;
        this.windowNanos = settings.windowMillis() * 1_000_000L;
        this.startedNanos = startedNanos;
        this.endNanos = startedNanos + QuotaTiming.LIFETIME_AT_CONTROLLER_NANOS + windowNanos;
    }

    /**
     * Records the routers that have reported; {@code awaitedIds} are those that may have credits. Returns whether all
     * of them have reported now.
     */
    boolean update(Map<String, RouterSession> sessionByRouter, Set<String> awaitedIds) {
        if (isComplete || !sessionByRouter.keySet().containsAll(awaitedIds)) {
            return false;
        }
        isComplete = true;
        endNanos = Math.min(endNanos, latestStartNanos(sessionByRouter.values()) + windowNanos);
        return true;
    }

    private static long latestStartNanos(Collection<RouterSession> sessions) {
        return sessions.stream().mapToLong(RouterSession::startedNanos).max().orElse(Long.MIN_VALUE / 2);
    }

    boolean isEnded(long nowNanos) {
        return nowNanos - endNanos >= 0;
    }

    /** Returns how much of {@code limit} has to be assumed as used besides what was reported. */
    double unreported(double limit, OrganisationLedger ledger, long nowNanos) {
        return isEnded(nowNanos) ? 0 : Math.max(0, limit - ledger.reportedAtTakeOver());
    }

    /**
     * Returns how many requests may run in addition to {@code limit} until all that was not reported is out of the
     * window. Requests of before are counted as the whole allowance, of which they usually are a part, so that without
     * these an organisation would be served nothing for seconds after a restart of all routers.
     */
    double allowedBeyond(double limit, long nowNanos) {
        return isEnded(nowNanos)
                ? 0
                : OVERSHOOT_FRACTION * settings.overshoot() * limit + SLACK_FRACTION * settings.slackRequests();
    }

    /** Describes the state, for the log. */
    String describe(long nowNanos) {
        return "complete=%s sinceMillis=%d untilMillis=%d"
                .formatted(isComplete, (nowNanos - startedNanos) / 1_000_000L, (endNanos - nowNanos) / 1_000_000L);
    }

    /** The routers that may have credits: those that are registered and those that were shortly before. */
    static final class Routers {
        /**
         * How long a router gets credits after its registration ended, in nanoseconds: the controller keeps the
         * connection to a router that does not reach the store for as long.
         */
        private static final long SERVED_NANOS = 30_000_000_000L;
        /** How long such a router may have credits, or requests in the window, in nanoseconds. */
        private static final long AWAITED_NANOS = SERVED_NANOS + 11_000_000_000L;

        private final Map<String, Long> leftNanosById = new HashMap<>();
        private Set<String> present = Set.of();

        void replace(Set<String> routerIds, long nowNanos) {
            present.forEach(id -> leftNanosById.put(id, nowNanos));
            present = routerIds;
            leftNanosById.keySet().removeAll(present);
        }

        Set<String> present() {
            return present;
        }

        boolean mayBeServed(String routerId, long nowNanos) {
            Long leftNanos = leftNanosById.get(routerId);
            return present.contains(routerId) || (leftNanos != null && nowNanos - leftNanos < SERVED_NANOS);
        }

        Set<String> awaited(long nowNanos) {
            leftNanosById.values().removeIf(leftNanos -> nowNanos - leftNanos >= AWAITED_NANOS);
            Set<String> awaited = new HashSet<>(present);
            awaited.addAll(leftNanosById.keySet());
            return awaited;
        }
    }
}
