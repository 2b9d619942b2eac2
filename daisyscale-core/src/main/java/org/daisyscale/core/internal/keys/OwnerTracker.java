package org.daisyscale.core.internal.keys;

import java.util.HashMap;
import java.util.Map;
import org.daisyscale.core.serving.KeyAssignment.Owner;

/**
 * Tracks for each owner when its grants expire at the latest, and whether it answers calls. Grants of earlier
 * controllers expire at most the longest hold after the start of this controller's term. Not thread-safe; confined to
 * the core thread.
 */
final class OwnerTracker {
    /** A server's clock may be slower than this router's by this factor. Source: required by the platform. */
    private static final double CLOCK_DRIFT_FACTOR = 1.02;
    /** A hold starts when the grant arrives, up to this long after sending, in milliseconds: links may delay bytes. */
    private static final long MAX_TRANSIT_MILLIS = 250;
    /** Consecutive unanswered calls after which a server counts as lost; a single one may be a lost packet. */
    private static final int LOST_AFTER_CALLS = 2;
    /** Calls that fail within this time after a counted failure, in milliseconds, belong to the same failure. */
    private static final long SAME_FAILURE_MILLIS = 250;
    /** A lost server gets no keys for this long, in milliseconds: a restarted process is back after seconds. */
    private static final long LOST_PAUSE_MILLIS = 3_000;

    private final long holdMaxMillis;
    private final Map<Owner, Long> heldUntilNanos = new HashMap<>();
    private final Map<Owner, Integer> unansweredCalls = new HashMap<>();
    private final Map<Owner, Long> lastFailureNanos = new HashMap<>();
    private final Map<Owner, Long> lostSinceNanos = new HashMap<>();
    private long startedNanos;

    OwnerTracker(long holdMaxMillis) {
        this.holdMaxMillis = holdMaxMillis;
    }

    /** Starts the term of this controller and discards all earlier state. */
    void startTerm(long nowNanos) {
        startedNanos = nowNanos;
        heldUntilNanos.clear();
        unansweredCalls.clear();
        lastFailureNanos.clear();
        lostSinceNanos.clear();
    }

    /** Returns when a grant sent at {@code sentNanos} expires at the latest. */
    private long latestEndNanos(long sentNanos, long holdMillis) {
        return sentNanos + (long) ((holdMillis * CLOCK_DRIFT_FACTOR + MAX_TRANSIT_MILLIS) * 1e6);
    }

    /** Returns the time by which all grants to {@code owner} have expired, in nanoseconds of the monotonic clock. */
    long heldUntilNanos(Owner owner) {
        return heldUntilNanos.getOrDefault(owner, latestEndNanos(startedNanos, holdMaxMillis));
    }

    /** Records a grant that is about to be sent; returns the value for {@link #undoGrant} if it is never sent. */
    long recordGrant(Owner owner, long holdMillis, long nowNanos) {
        long before = heldUntilNanos(owner);
        heldUntilNanos.put(owner, Math.max(before, latestEndNanos(nowNanos, holdMillis)));
        return before;
    }

    /** Restores the expiry {@code before} a grant that was certainly never sent. */
    void undoGrant(Owner owner, long before) {
        heldUntilNanos.put(owner, before);
    }

    void recordAnswered(Owner owner) {
        unansweredCalls.remove(owner);
        lostSinceNanos.remove(owner);
    }

    void recordUnanswered(Owner owner, long nowNanos) {
        Long lastNanos = lastFailureNanos.get(owner);
        if (lastNanos != null && nowNanos - lastNanos < SAME_FAILURE_MILLIS * 1_000_000L) {
            return;
        }
        lastFailureNanos.put(owner, nowNanos);
        int calls = unansweredCalls.merge(owner, 1, Integer::sum);
        if (calls >= LOST_AFTER_CALLS) {
            lostSinceNanos.put(owner, nowNanos);
        }
    }

    /** Records that the server process has ended, and with it all its grants. */
    void recordGone(Owner owner, long nowNanos) {
        heldUntilNanos.put(owner, nowNanos);
        lostSinceNanos.put(owner, nowNanos);
    }

    /** Returns whether the server left its last calls unanswered or has ended, within the last seconds. */
    boolean isLost(Owner owner, long nowNanos) {
        Long since = lostSinceNanos.get(owner);
        return since != null && nowNanos - since < LOST_PAUSE_MILLIS * 1_000_000L;
    }
}
