package org.daisyscale.core.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** The credits and the demand of one organisation at this router. Not thread-safe; confined to the core thread. */
final class OrganisationAccount {
    /** Demand for which a busy organisation gets credits in advance, in nanoseconds. */
    private static final long PREFETCH_NANOS = 1_500_000_000L;
    /** Requests within that time from which an organisation is busy; credits of others would expire unused. */
    private static final int BUSY_COUNT = 3;

    private static final long HISTORY_GRANULARITY_NANOS = 100_000_000L;
    private static final long SECOND_NANOS = 1_000_000_000L;

    /** The credits, by expiry. */
    private final TimedCounts held = new TimedCounts(1);

    private final TimedCounts ran = new TimedCounts(HISTORY_GRANULARITY_NANOS);
    private final TimedCounts arrivals = new TimedCounts(HISTORY_GRANULARITY_NANOS);
    private long unreportedCount;
    private long requestedCount;
    private long deniedUntilNanos;
    private boolean isDenied;
    private int waitingCount;

    void recordArrival(long nowNanos) {
        arrivals.removeThrough(nowNanos - PREFETCH_NANOS);
        arrivals.add(nowNanos, 1);
    }

    OptionalLong trySpend(long nowNanos) {
        held.removeThrough(nowNanos);
        if (held.total() == 0) {
            return OptionalLong.empty();
        }
        unreportedCount++;
        ran.add(nowNanos, 1);
        return OptionalLong.of(held.removeEarliest());
    }

    void giveBack(long expiryNanos, long nowNanos) {
        held.add(expiryNanos, 1);
        unreportedCount--;
        ran.removeEarliest(1);
        isDenied = isDenied && held.total() == 0 && nowNanos - deniedUntilNanos < 0;
    }

    void addWaiting(int count) {
        waitingCount += count;
    }

    boolean isWaiting() {
        return waitingCount > 0;
    }

    long deniedMillis(long nowNanos) {
        isDenied = isDenied && nowNanos - deniedUntilNanos < 0;
        return isDenied ? (deniedUntilNanos - nowNanos + 999_999L) / 1_000_000L : 0;
    }

    /** Applies the reply to a request for credits, which expire at {@code expiryNanos}. */
    void applyShare(QuotaGrant.Share share, long expiryNanos, long nowNanos) {
        forgetRequest(share.wantedCount());
        if (expiryNanos - nowNanos > 0) {
            held.add(expiryNanos, share.grantedCount());
        }
        isDenied = share.retryAfterMillis() > 0;
        deniedUntilNanos = nowNanos + share.retryAfterMillis() * 1_000_000L;
    }

    /** Counts {@code count} credits as no longer requested. */
    void forgetRequest(long count) {
        requestedCount = Math.max(0, requestedCount - count);
    }

    void forgetRequests() {
        requestedCount = 0;
    }

    /** Discards the credits and returns how many there were. */
    long discardCredits() {
        return held.removeThrough(Long.MAX_VALUE);
    }

    /** Removes expired credits and returns whether there were any. */
    boolean expire(long nowNanos) {
        return held.removeThrough(nowNanos) > 0;
    }

    long heldCount(long nowNanos) {
        held.removeThrough(nowNanos);
        return held.total();
    }

    /** Returns the age of the oldest credit, in milliseconds; 0 if there is none. */
    long heldAgeMillis(long lifetimeNanos, long nowNanos) {
        return heldCount(nowNanos) == 0 ? 0 : (nowNanos - held.earliestNanos() + lifetimeNanos) / 1_000_000L;
    }

    /** Returns whether a busy organisation has used half of the credits that it had in advance. */
    boolean wantsPrefetch(long nowNanos) {
        return prefetchCount(nowNanos) > 0
                && wantedCount(nowNanos) > prefetchCount(nowNanos) / 2
                && deniedMillis(nowNanos) == 0;
    }

    private long prefetchCount(long nowNanos) {
        arrivals.removeThrough(nowNanos - PREFETCH_NANOS);
        return arrivals.total() < BUSY_COUNT ? 0 : arrivals.total();
    }

    private long wantedCount(long nowNanos) {
        if (deniedMillis(nowNanos) > 0) {
            return 0;
        }
        return Math.max(0, waitingCount + prefetchCount(nowNanos) - held.total() - requestedCount);
    }

    /** Creates the entry of a report that is sent now, and counts what it contains as reported and requested. */
    QuotaReport.Usage createUsage(String name, boolean isWhole, long windowNanos, long nowNanos) {
        held.removeThrough(nowNanos);
        ran.removeThrough(nowNanos - windowNanos);
        long wantedCount = wantedCount(nowNanos);
        long ranCount = unreportedCount;
        requestedCount += wantedCount;
        unreportedCount = 0;
        List<Long> ranBySecond = isWhole ? ranBySecond(windowNanos, nowNanos) : List.of();
        return new QuotaReport.Usage(name, ranCount, held.total(), wantedCount, ranBySecond);
    }

    private List<Long> ranBySecond(long windowNanos, long nowNanos) {
        List<Long> ranBySecond = new ArrayList<>();
        long untilNanos = Long.MAX_VALUE;
        for (long ageNanos = SECOND_NANOS; ageNanos < windowNanos + SECOND_NANOS; ageNanos += SECOND_NANOS) {
            ranBySecond.add(ran.countBetween(nowNanos - ageNanos, untilNanos));
            untilNanos = nowNanos - ageNanos;
        }
        return ranBySecond;
    }

    /** Returns whether nothing of the organisation has to be remembered. */
    boolean isIdle(long windowNanos, long nowNanos) {
        held.removeThrough(nowNanos);
        ran.removeThrough(nowNanos - windowNanos);
        arrivals.removeThrough(nowNanos - PREFETCH_NANOS);
        return held.total() == 0
                && ran.total() == 0
                && arrivals.total() == 0
                && unreportedCount == 0
                && waitingCount == 0
                && requestedCount == 0
                && deniedMillis(nowNanos) == 0;
    }
}
