package org.daisyscale.core.internal.keys;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;
import org.daisyscale.core.serving.KeyMap;

/**
 * Records the grants of one service that servers may hold, so that a range changes hands only once no other server can
 * hold it.
 *
 * <p>Invariants: a grant in flight counts as held, and one that was sent counts as held until it has certainly expired.
 * A grant without a proven answer may take effect late, even after a release of its keys; it can't once the server has
 * provably accepted a higher fence on one of its keys, because the server then rejects it. Grants of earlier
 * controllers expire at most the longest hold after the start of this controller's term; which keys each of them
 * contained is unknown, so that a proven grant of this controller excludes them only for its own keys.
 *
 * <p>Not thread-safe; confined to the core thread.
 */
final class HoldLedger {
    /** A server's clock may be slower than this router's by this factor. Source: required by the platform. */
    private static final double CLOCK_DRIFT_FACTOR = 1.02;
    /** How long after the connection was reset a grant may still arrive, in milliseconds: links may delay bytes. */
    private static final long MAX_TRANSIT_MILLIS = 250;

    /** How long a call may wait until it is sent, and then for its answer, in milliseconds. */
    private static final long MAX_CALL_MILLIS = 750;
    /** Stands for the fences of earlier controllers, all of which are lower than those of this controller. */
    private static final long FENCE_OF_OTHERS = 0;

    private final long holdMaxMillis;
    private final Map<Owner, List<Hold>> holdsByOwner = new HashMap<>();
    private final Map<Long, Hold> inFlightByCall = new HashMap<>();
    private final Set<Owner> goneOwners = new HashSet<>();
    private long termEndOfOthersNanos;

    HoldLedger(long holdMaxMillis) {
        this.holdMaxMillis = holdMaxMillis;
    }

    /** Starts a term of this controller, before which others may have granted anything. */
    void startTerm(long nowNanos) {
        termEndOfOthersNanos = expiryNanos(nowNanos, holdMaxMillis) + MAX_TRANSIT_MILLIS * 1_000_000L;
    }

    /** Returns whether grants from before this controller's term may still be held. */
    boolean mayOthersHold(long nowNanos) {
        return termEndOfOthersNanos - nowNanos > 0;
    }

    private static long expiryNanos(long arrivedNanos, long holdMillis) {
        return arrivedNanos + (long) (holdMillis * CLOCK_DRIFT_FACTOR * 1e6);
    }

    /**
     * Records what the controllers that wrote {@code map} may have granted. An owner may have grants without a proven
     * answer. A predecessor must not get a grant again, as the next owner may hold the range already, so that a grant
     * that may take effect late has to expire.
     */
    void recordEarlierGrants(KeyMap map, long nowNanos) {
        for (KeyAssignment assignment : map.assignments()) {
            recordEarlier(assignment.owner(), assignment, termEndOfOthersNanos, Lateness.UNPROVEN, nowNanos);
            long leftMillis = (termEndOfOthersNanos - nowNanos) / 1_000_000L;
            long lateUntilNanos = nowNanos + Math.min(assignment.lateGrantMillis(), leftMillis) * 1_000_000L;
            assignment.predecessors().stream()
                    .filter(predecessor -> !predecessor.equals(assignment.owner()))
                    .forEach(predecessor ->
                            recordEarlier(predecessor, assignment, lateUntilNanos, Lateness.UNANSWERED, nowNanos));
        }
    }

    private void recordEarlier(Owner owner, KeyAssignment range, long untilNanos, Lateness lateness, long nowNanos) {
        if (untilNanos - nowNanos > 0) {
            Hold hold = new Hold(range.firstKey(), range.lastKey(), FENCE_OF_OTHERS, holdMaxMillis);
            hold.end(untilNanos, lateness);
            holdsByOwner.computeIfAbsent(owner, unused -> new ArrayList<>()).add(hold);
        }
    }

    /** Records a grant of {@code range} to {@code owner} that is about to be sent. */
    void recordGrant(long callId, Owner owner, KeyAssignment range, long fence, long holdMillis, long nowNanos) {
        Hold hold = new Hold(range.firstKey(), range.lastKey(), fence, holdMillis);
        List<Hold> holds = holdsByOwner.computeIfAbsent(owner, unused -> new ArrayList<>());
        holds.removeIf(other -> other.isOver(nowNanos));
        holds.add(hold);
        inFlightByCall.put(callId, hold);
    }

    /** Records that the server accepted the grant, and with its fence rejects older grants of any of its keys. */
    void recordAccepted(long callId, Owner owner, long nowNanos) {
        Hold accepted = inFlightByCall.remove(callId);
        if (accepted != null) {
            goneOwners.remove(owner);
            accepted.end(expiryNanos(nowNanos, accepted.holdMillis), Lateness.EXCLUDED);
            List<Hold> holds = holdsByOwner.getOrDefault(owner, new ArrayList<>());
            for (Hold older : List.copyOf(holds)) {
                if (older.fence < accepted.fence && older.overlaps(accepted.firstKey, accepted.lastKey)) {
                    holds.addAll(older.exclude(accepted));
                }
            }
        }
    }

    /** Records an acceptance that may be a copy of an earlier one: the server may get the grant later or reject it. */
    void recordUnproven(long callId, Owner owner, long nowNanos) {
        goneOwners.remove(owner);
        endUncertain(callId, Lateness.UNPROVEN, nowNanos);
    }

    /** Records that the grant got no answer although it was sent. */
    void recordUnanswered(long callId, long nowNanos) {
        endUncertain(callId, Lateness.UNANSWERED, nowNanos);
    }

    private void endUncertain(long callId, Lateness lateness, long nowNanos) {
        Hold uncertain = inFlightByCall.remove(callId);
        if (uncertain != null) {
            long arrivedNanos = nowNanos + MAX_TRANSIT_MILLIS * 1_000_000L;
            uncertain.end(expiryNanos(arrivedNanos, uncertain.holdMillis), lateness);
        }
    }

    /** Records that the grant was not sent or that the server rejected it. */
    void recordNotTaken(long callId, Owner owner) {
        Hold notTaken = inFlightByCall.remove(callId);
        if (notTaken != null) {
            holdsByOwner.getOrDefault(owner, new ArrayList<>()).remove(notTaken);
        }
    }

    /** Records that the server process has ended, and with it all its grants. */
    void recordGone(Owner owner) {
        goneOwners.add(owner);
    }

    /** Returns whether {@code owner} may hold a key of {@code range}, provided that it has not released it. */
    boolean mayHold(Owner owner, KeyAssignment range, long nowNanos) {
        return !goneOwners.contains(owner)
                && (mayOthersHold(nowNanos) || holds(owner, range).anyMatch(hold -> !hold.isOver(nowNanos)));
    }

    /**
     * Returns whether a grant of any key of {@code range} to {@code owner} may still take effect. A release that is
     * sent meanwhile proves nothing.
     */
    boolean mayTakeEffectLater(Owner owner, KeyAssignment range, long nowNanos) {
        return holds(owner, range)
                .anyMatch(hold -> hold.isInFlight || (hold.lateness != Lateness.EXCLUDED && !hold.isOver(nowNanos)));
    }

    /** Returns for how long a grant that is about to be sent may take effect without an answer, in milliseconds. */
    static long maxLateMillis(long holdMillis) {
        return (long) (holdMillis * CLOCK_DRIFT_FACTOR) + MAX_TRANSIT_MILLIS + MAX_CALL_MILLIS;
    }

    /** Returns for how long a grant of any key of {@code range} to {@code owner} may take effect, in milliseconds. */
    long lateMillis(Owner owner, KeyAssignment range, long nowNanos) {
        return holds(owner, range)
                .filter(hold -> hold.lateness != Lateness.EXCLUDED && !hold.isOver(nowNanos))
                .mapToLong(hold -> (hold.expiresNanos - nowNanos) / 1_000_000L + 1)
                .max()
                .orElse(0);
    }

    /** Returns whether a grant of any key of {@code range} to {@code owner} is in flight. */
    boolean isInFlight(Owner owner, KeyAssignment range) {
        return holds(owner, range).anyMatch(hold -> hold.isInFlight);
    }

    /**
     * Returns whether {@code owner} answers, but without a proof that no grant of a key of {@code range} may still take
     * effect. A grant under a higher fence with a proven answer is that proof.
     */
    boolean lacksOnlyProof(Owner owner, KeyAssignment range, long nowNanos) {
        return mayTakeEffectLater(owner, range, nowNanos)
                && holds(owner, range)
                        .filter(hold -> !hold.isOver(nowNanos))
                        .noneMatch(hold -> hold.isInFlight || hold.lateness == Lateness.UNANSWERED);
    }

    private Stream<Hold> holds(Owner owner, KeyAssignment range) {
        return holdsByOwner.getOrDefault(owner, List.of()).stream()
                .filter(hold -> hold.overlaps(range.firstKey(), range.lastKey()));
    }

    /** Whether a grant that is not in flight may take effect late. */
    private enum Lateness {
        /** It has taken effect or never will. */
        EXCLUDED,
        /** It was answered, but the answer may be a copy of an earlier one. */
        UNPROVEN,
        /** It was not answered. */
        UNANSWERED
    }

    /** One grant. */
    private static final class Hold {
        private final int firstKey;
        private final int lastKey;
        private final long fence;
        private final long holdMillis;
        private boolean isInFlight = true;
        private Lateness lateness = Lateness.EXCLUDED;
        private long expiresNanos;

        private Hold(int firstKey, int lastKey, long fence, long holdMillis) {
            this.firstKey = firstKey;
            this.lastKey = lastKey;
            this.fence = fence;
            this.holdMillis = holdMillis;
        }

        private void end(long newExpiresNanos, Lateness newLateness) {
            isInFlight = false;
            lateness = newLateness;
            expiresNanos = newExpiresNanos;
        }

        private boolean overlaps(int first, int last) {
            return firstKey <= last && first <= lastKey;
        }

        /**
         * Records that the server rejects this grant from now on, since it has accepted {@code newer}. Returns what
         * remains of grants of earlier controllers, which the server rejects only if they contain a key of it.
         */
        private List<Hold> exclude(Hold newer) {
            List<Hold> rest = new ArrayList<>();
            if (fence == FENCE_OF_OTHERS && lateness != Lateness.EXCLUDED) {
                if (firstKey < newer.firstKey) {
                    rest.add(withKeys(firstKey, newer.firstKey - 1));
                }
                if (newer.lastKey < lastKey) {
                    rest.add(withKeys(newer.lastKey + 1, lastKey));
                }
            }
            lateness = Lateness.EXCLUDED;
            return rest;
        }

        private Hold withKeys(int first, int last) {
            Hold part = new Hold(first, last, fence, holdMillis);
            part.end(expiresNanos, lateness);
            return part;
        }

        private boolean isOver(long nowNanos) {
            return !isInFlight && nowNanos - expiresNanos >= 0;
        }
    }
}
