package org.daisyscale.core.internal.keys;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.daisyscale.core.keys.KeyAction;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;
import org.daisyscale.core.serving.KeyMap;

/**
 * Coordinates the grant and release calls for the ranges of one service: which are pending, answered or due.
 *
 * <p>Invariants: a moving range is granted only when each predecessor has certainly lost it, see {@link HoldLedger}.
 * Once a move is planned, predecessors get no further grant of its keys. A grant carries a new fence unless the call
 * can only reach the process that accepted this fence before.
 *
 * <p>Not thread-safe; confined to the core thread.
 */
final class RangeCallCoordinator {
    /**
     * How long before the end of its hold a grant is renewed, in milliseconds, so that two renewals may go unanswered.
     */
    private static final long RENEW_BEFORE_END_MILLIS = 1_730;
    /** Fraction of a long hold after which it is renewed: the rest has to last until another controller renews it. */
    private static final double MAX_RENEW_FRACTION = 0.45;
    /**
     * Delay before an unanswered grant is retried, and step of the linear backoff of releases, in milliseconds: a lost
     * packet is retransmitted by then.
     */
    private static final long RETRY_MILLIS = 300;
    /** For how long a planned move postpones the renewal of its range, in milliseconds: until the next plan. */
    private static final long POSTPONEMENT_MILLIS = 100;
    /** Fences begin at 1. */
    private static final long NO_FENCE = 0;

    private final String service;
    private final OwnerTracker owners;
    private final HoldLedger holds;
    private final ServerRegistry registry;
    private final FenceBlock fences;
    private final CallIdSequence callIds;
    private final Map<KeyAssignment, RangeState> stateByRange = new HashMap<>();
    private final Map<Long, PendingCall> callById = new HashMap<>();
    private int term;

    RangeCallCoordinator(
            String service,
            OwnerTracker owners,
            HoldLedger holds,
            ServerRegistry registry,
            FenceBlock fences,
            CallIdSequence callIds) {
        this.service = service;
        this.owners = owners;
        this.holds = holds;
        this.registry = registry;
        this.fences = fences;
        this.callIds = callIds;
    }

    /** Discards the state of an earlier term, but not what servers may hold. */
    void startTerm(long nowNanos) {
        term++;
        stateByRange.clear();
        holds.startTerm(nowNanos);
    }

    /** Returns whether servers may hold what other controllers granted before this term. */
    boolean mayOthersHold(long nowNanos) {
        return holds.mayOthersHold(nowNanos);
    }

    /** Asks the owner for a proof that no earlier grant of {@code range}, whole or in part, may take effect late. */
    void requestProof(KeyAssignment range) {
        stateContaining(range).ifPresent(state -> state.isProofWanted = true);
    }

    /** Postpones the renewal of the grant of {@code range}, whole or in part, since the range is about to move. */
    void postponeRenewal(KeyAssignment range, long nowNanos) {
        stateContaining(range).ifPresent(state -> state.renewAfterNanos = nowNanos + POSTPONEMENT_MILLIS * 1_000_000L);
    }

    private Optional<RangeState> stateContaining(KeyAssignment range) {
        return Optional.ofNullable(stateByRange.get(range))
                .or(() -> stateByRange.entrySet().stream()
                        .filter(entry -> covers(entry.getKey(), range))
                        .map(Map.Entry::getValue)
                        .findFirst());
    }

    /** Keeps the state of ranges that {@code map} keeps, whole or in part; discards that of all others. */
    void adopt(KeyMap map) {
        Map<Long, List<Map.Entry<KeyAssignment, RangeState>>> beforeByFence =
                Map.copyOf(stateByRange).entrySet().stream()
                        .collect(Collectors.groupingBy(entry -> entry.getKey().fence()));
        stateByRange.clear();
        for (KeyAssignment assignment : map.assignments()) {
            RangeState state = beforeByFence.getOrDefault(assignment.fence(), List.of()).stream()
                    .filter(entry -> covers(entry.getKey(), assignment))
                    .findFirst()
                    .map(entry -> entry.getKey().keyCount() == assignment.keyCount()
                            ? entry.getValue()
                            : entry.getValue().forSubrange())
                    .orElseGet(RangeState::new);
            stateByRange.put(assignment, state);
        }
    }

    private static boolean covers(KeyAssignment before, KeyAssignment now) {
        return before.fence() == now.fence()
                && before.owner().equals(now.owner())
                && before.firstKey() <= now.firstKey()
                && now.lastKey() <= before.lastKey();
    }

    boolean isGranted(KeyAssignment assignment) {
        return stateFor(assignment).isGranted;
    }

    boolean isFenceTooLow(KeyAssignment assignment) {
        return stateFor(assignment).isFenceTooLow;
    }

    private RangeState stateFor(KeyAssignment assignment) {
        return stateByRange.computeIfAbsent(assignment, range -> new RangeState());
    }

    /** Makes the calls that are due for {@code assignment}. */
    void makeDueCalls(KeyAssignment assignment, CallTerms terms, List<KeyAction> actions, long nowNanos) {
        RangeState state = stateFor(assignment);
        if (state.isFenceTooLow || state.grantCallId != 0) {
            return;
        }
        boolean isReleased = true;
        for (Owner predecessor : assignment.predecessors()) {
            isReleased &= state.isGranted || ensureReleased(assignment, predecessor, state, terms, actions, nowNanos);
        }
        if (!isReleased) {
            return;
        }
        if (state.isProofWanted && nowNanos - state.proofDueNanos >= 0 && !fences.isEmpty()) {
            state.isProofWanted = false;
            state.fence = NO_FENCE;
            grant(assignment, PendingCall.Kind.PROOF, terms, state, actions, nowNanos);
            state.fence = NO_FENCE;
        } else if (isGrantDue(assignment, state, nowNanos)) {
            grant(assignment, PendingCall.Kind.GRANT, terms, state, actions, nowNanos);
        }
    }

    private boolean isGrantDue(KeyAssignment assignment, RangeState state, long nowNanos) {
        boolean hasFence = state.fence != NO_FENCE || !fences.isEmpty();
        long dueNanos = Math.max(state.grantDueNanos, state.renewAfterNanos);
        return hasFence && nowNanos - dueNanos >= 0 && registry.mayOwn(assignment.owner());
    }

    /**
     * Returns whether {@code predecessor} no longer holds the range; if it may, asks it to release the range. No
     * release is sent while an earlier grant may still take effect after it; the predecessor serves on meanwhile.
     */
    private boolean ensureReleased(
            KeyAssignment assignment,
            Owner predecessor,
            RangeState state,
            CallTerms terms,
            List<KeyAction> actions,
            long nowNanos) {
        if (predecessor.equals(assignment.owner())
                || registry.isReplaced(predecessor)
                || !holds.mayHold(predecessor, assignment, nowNanos)) {
            return true;
        }
        if (holds.mayTakeEffectLater(predecessor, assignment, nowNanos)) {
            return false;
        }
        if (state.handoverByPredecessor.containsKey(predecessor)) {
            return true;
        }
        long dueNanos = state.releaseDueNanos.getOrDefault(predecessor, nowNanos);
        if (nowNanos - dueNanos >= 0) {
            state.releaseDueNanos.put(predecessor, nowNanos + RETRY_MILLIS * 1_000_000L * state.nextReleaseAttempt());
            long callId = callIds.next();
            callById.put(callId, new PendingCall(assignment, predecessor, PendingCall.Kind.RELEASE, term));
            actions.add(new KeyAction.SendRelease(
                    callId,
                    predecessor,
                    assignment.firstKey(),
                    assignment.lastKey(),
                    assignment.fence(),
                    registry.healthPath(service),
                    terms.sendBeforeNanos()));
        }
        return false;
    }

    private void grant(
            KeyAssignment assignment,
            PendingCall.Kind kind,
            CallTerms terms,
            RangeState state,
            List<KeyAction> actions,
            long nowNanos) {
        long holdMillis = terms.holdMillis();
        boolean isRenewal = state.fence != NO_FENCE;
        state.fence = isRenewal ? state.fence : fences.take();
        state.grantCallId = callIds.next();
        state.grantDueNanos = nowNanos + renewAfterMillis(holdMillis) * 1_000_000L;
        callById.put(state.grantCallId, new PendingCall(assignment, assignment.owner(), kind, term));
        holds.recordGrant(state.grantCallId, assignment.owner(), assignment, state.fence, holdMillis, nowNanos);
        String handover = state.isGranted
                ? ""
                : state.handoverByPredecessor.values().stream()
                        .filter(text -> !text.isEmpty())
                        .findFirst()
                        .orElse("");
        actions.add(new KeyAction.SendGrant(
                state.grantCallId,
                assignment.owner(),
                assignment.firstKey(),
                assignment.lastKey(),
                state.fence,
                isRenewal,
                kind == PendingCall.Kind.PROOF,
                holdMillis,
                handover,
                registry.healthPath(service),
                terms.sendBeforeNanos()));
    }

    private static long renewAfterMillis(long holdMillis) {
        long latestMillis = Math.max(RETRY_MILLIS, holdMillis - RENEW_BEFORE_END_MILLIS);
        return Math.min(latestMillis, (long) (holdMillis * MAX_RENEW_FRACTION));
    }

    /** Makes the grants of all ranges due now, so that they are renewed for a longer hold. */
    void renewAllNow(long nowNanos) {
        stateByRange.values().forEach(state -> state.grantDueNanos = nowNanos);
    }

    /**
     * Records that the server accepted the grant; returns whether calls or moves may be due at once, since it is the
     * first one of its range or the proof for a move. An answer without a proof decides only where requests are sent,
     * which a server without the keys refuses, and what the server may hold.
     */
    boolean onGrantAccepted(long callId, boolean isProven, long nowNanos) {
        PendingCall call = callById.remove(callId);
        if (call == null) {
            return false;
        }
        owners.recordAnswered(call.owner());
        if (isProven) {
            holds.recordAccepted(callId, call.owner(), nowNanos);
        } else {
            holds.recordUnproven(callId, call.owner(), nowNanos);
        }
        Optional<RangeState> state = endCall(call, callId);
        boolean isFirst = state.filter(found -> !found.isGranted).isPresent();
        state.ifPresent(found -> found.isGranted = true);
        return isFirst || call.kind() == PendingCall.Kind.PROOF;
    }

    /** Records that the server rejected the grant because it knows a higher fence. */
    void onGrantRejected(long callId) {
        removePending(callId).ifPresent(call -> {
            owners.recordAnswered(call.owner());
            holds.recordNotTaken(callId, call.owner());
            endCall(call, callId).ifPresent(state -> state.isFenceTooLow = true);
        });
    }

    /** Records a call without an answer. After a grant, the next one is due after a delay and needs a new fence. */
    void onUnanswered(long callId, boolean wasSent, long nowNanos) {
        removePending(callId).ifPresent(call -> {
            owners.recordUnanswered(call.owner(), nowNanos);
            if (wasSent) {
                holds.recordUnanswered(callId, nowNanos);
            } else {
                holds.recordNotTaken(callId, call.owner());
            }
            endCall(call, callId).filter(state -> call.isGrant()).ifPresent(state -> {
                state.fence = NO_FENCE;
                state.grantDueNanos = nowNanos + RETRY_MILLIS * 1_000_000L;
                state.proofDueNanos = state.grantDueNanos;
            });
        });
    }

    /** Records a renewal that was not sent, since another process may have the server's address: needs a new fence. */
    void onRenewalUnverified(long callId, long nowNanos) {
        removePending(callId).ifPresent(call -> {
            holds.recordNotTaken(callId, call.owner());
            endCall(call, callId).ifPresent(state -> {
                state.fence = NO_FENCE;
                state.grantDueNanos = nowNanos;
            });
        });
    }

    /** Records a call that this router did not send in time; it is due again at once. */
    void onExpired(long callId, long nowNanos) {
        removePending(callId).ifPresent(call -> {
            holds.recordNotTaken(callId, call.owner());
            endCall(call, callId).ifPresent(state -> {
                if (call.isGrant()) {
                    state.fence = NO_FENCE;
                    state.grantDueNanos = nowNanos;
                } else {
                    state.releaseDueNanos.remove(call.owner());
                }
            });
        });
    }

    /**
     * Records that the server released the range of the call. That is no sign of life: a lost server's successor at the
     * same address releases what it never held.
     */
    void onReleased(long callId, String handover) {
        removePending(callId)
                .ifPresent(call -> endCall(call, callId)
                        .ifPresent(state -> state.handoverByPredecessor.put(call.owner(), handover)));
    }

    /** Records that the server of the call has ended and holds nothing any more. */
    void onOwnerGone(long callId, long nowNanos) {
        removePending(callId).ifPresent(call -> {
            owners.recordGone(call.owner(), nowNanos);
            holds.recordNotTaken(callId, call.owner());
            holds.recordGone(call.owner());
            endCall(call, callId).filter(state -> call.isGrant()).ifPresent(state -> {
                state.fence = NO_FENCE;
                state.grantDueNanos = nowNanos + RETRY_MILLIS * 1_000_000L;
            });
        });
    }

    private Optional<PendingCall> removePending(long callId) {
        return Optional.ofNullable(callById.remove(callId));
    }

    /**
     * Ends the call and returns the state of its range; empty if the map no longer has the range, or if the call is of
     * an earlier term.
     */
    private Optional<RangeState> endCall(PendingCall call, long callId) {
        if (call.term() != term) {
            return Optional.empty();
        }
        Optional<RangeState> state = Optional.ofNullable(stateByRange.get(call.assignment()))
                .or(() -> stateByRange.entrySet().stream()
                        .filter(entry -> covers(call.assignment(), entry.getKey()))
                        .map(Map.Entry::getValue)
                        .findFirst());
        state.filter(found -> found.grantCallId == callId).ifPresent(found -> found.grantCallId = 0);
        return state;
    }

    /** The state of the calls for one range. */
    private static final class RangeState {
        private final Map<Owner, String> handoverByPredecessor = new HashMap<>();
        private final Map<Owner, Long> releaseDueNanos = new HashMap<>();
        private long fence = NO_FENCE;
        private long grantCallId;
        private long grantDueNanos = Long.MIN_VALUE / 2;
        private long proofDueNanos = Long.MIN_VALUE / 2;
        private long renewAfterNanos = Long.MIN_VALUE / 2;
        private boolean isGranted;
        private boolean isFenceTooLow;
        private boolean isProofWanted;
        private int releaseAttempts;

        private int nextReleaseAttempt() {
            return ++releaseAttempts;
        }

        /** Returns the state for a subrange, whose own grant follows soon. */
        private RangeState forSubrange() {
            RangeState subrange = new RangeState();
            subrange.fence = fence;
            subrange.isGranted = isGranted;
            subrange.grantDueNanos = grantDueNanos;
            return subrange;
        }
    }
}
