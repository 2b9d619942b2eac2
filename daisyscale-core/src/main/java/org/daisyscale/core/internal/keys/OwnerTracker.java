package org.daisyscale.core.internal.keys;

import java.util.HashMap;
import java.util.Map;
import org.daisyscale.core.serving.KeyAssignment.Owner;

/** Tracks whether owners answer calls. Not thread-safe; confined to the core thread. */
final class OwnerTracker {
    /** Consecutive unanswered calls after which a server counts as lost; a single one may be a lost packet. */
    private static final int LOST_AFTER_CALLS = 2;
    /** Calls that fail within this time after a counted failure, in milliseconds, belong to the same failure. */
    private static final long SAME_FAILURE_MILLIS = 250;
    /** A lost server gets no keys for this long, in milliseconds: a restarted process is back after seconds. */
    private static final long LOST_PAUSE_MILLIS = 3_000;

    private final Map<Owner, Integer> unansweredCalls = new HashMap<>();
    private final Map<Owner, Long> lastFailureNanos = new HashMap<>();
    private final Map<Owner, Long> lostSinceNanos = new HashMap<>();
    /** Starts the term of this controller and discards all earlier state. */
    void startTerm() {
        unansweredCalls.clear();
        lastFailureNanos.clear();
        lostSinceNanos.clear();
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

    /** Records that the server process has ended. */
    void recordGone(Owner owner, long nowNanos) {
        lostSinceNanos.put(owner, nowNanos);
    }

    /** Returns whether the server left its last calls unanswered or has ended, within the last seconds. */
    boolean isLost(Owner owner, long nowNanos) {
        Long since = lostSinceNanos.get(owner);
        return since != null && nowNanos - since < LOST_PAUSE_MILLIS * 1_000_000L;
    }
}
