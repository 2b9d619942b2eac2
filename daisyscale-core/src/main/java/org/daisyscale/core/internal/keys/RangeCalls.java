package org.daisyscale.core.internal.keys;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.daisyscale.core.keys.KeyAction;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;
import org.daisyscale.core.serving.KeyMap;

/**
 * The grants and releases of one service's ranges: which are under way, which were answered, which are due. A range on
 * its way is granted only when each predecessor released it or can hold it no longer. A grant's fence is new unless the
 * call can only reach the process that took the grant with this fence before. Owned by the thread that owns the core.
 */
final class RangeCalls {
    /** A grant is renewed after this part of its hold, so that two renewals may be lost. */
    private static final double RENEW_PART = 0.28;
    /** A call that failed is repeated after this, in milliseconds: a lost packet was sent again by then. */
    private static final long REPEAT_MILLIS = 300;
    /** Fences begin at 1. */
    private static final long NO_FENCE = 0;

    private final OwnerWatch owners;
    private final ServerRoster roster;
    private final FenceBlock fences;
    private final CallNumbers callNumbers;
    private final Map<KeyAssignment, RangeState> stateByRange = new HashMap<>();
    private final Map<Long, Call> callById = new HashMap<>();

    RangeCalls(OwnerWatch owners, ServerRoster roster, FenceBlock fences, CallNumbers callNumbers) {
        this.owners = owners;
        this.roster = roster;
        this.fences = fences;
        this.callNumbers = callNumbers;
    }

    void clear() {
        stateByRange.clear();
        callById.clear();
    }

    /** Takes over the state of ranges that {@code map} keeps, whole or in part; forgets the others. */
    void adopt(KeyMap map) {
        Map<KeyAssignment, RangeState> before = new HashMap<>(stateByRange);
        stateByRange.clear();
        for (KeyAssignment assignment : map.assignments()) {
            RangeState state = before.entrySet().stream()
                    .filter(entry -> covers(entry.getKey(), assignment))
                    .findFirst()
                    .map(entry -> entry.getKey().keyCount() == assignment.keyCount()
                            ? entry.getValue()
                            : entry.getValue().forPart())
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
        return state(assignment).isGranted;
    }

    boolean isFenceTooLow(KeyAssignment assignment) {
        return state(assignment).isFenceTooLow;
    }

    private RangeState state(KeyAssignment assignment) {
        return stateByRange.computeIfAbsent(assignment, range -> new RangeState());
    }

    /** Makes the calls that are due for {@code assignment}. */
    void act(KeyAssignment assignment, long holdMillis, List<KeyAction> actions, long nowNanos) {
        RangeState state = state(assignment);
        if (state.isFenceTooLow || state.grantCallId != 0) {
            return;
        }
        boolean isFree = true;
        for (Owner predecessor : assignment.predecessors()) {
            isFree &= state.isGranted || free(assignment, predecessor, state, actions, nowNanos);
        }
        boolean hasFence = state.fence != NO_FENCE || !fences.isEmpty();
        if (isFree && hasFence && nowNanos - state.grantDueNanos >= 0 && roster.mayOwn(assignment.owner())) {
            grant(assignment, holdMillis, state, actions, nowNanos);
        }
    }

    /** Whether {@code predecessor} holds the range no longer; asks it to release the range if need be. */
    private boolean free(
            KeyAssignment assignment, Owner predecessor, RangeState state, List<KeyAction> actions, long nowNanos) {
        if (predecessor.equals(assignment.owner())
                || state.handoverByReleased.containsKey(predecessor)
                || roster.isReplaced(predecessor)
                || nowNanos - owners.heldUntil(predecessor) >= 0) {
            return true;
        }
        long due = state.releaseDueNanos.getOrDefault(predecessor, nowNanos);
        if (nowNanos - due >= 0) {
            state.releaseDueNanos.put(predecessor, nowNanos + REPEAT_MILLIS * 1_000_000L * state.releaseCalls());
            long callId = callNumbers.next();
            callById.put(callId, new Call(assignment, predecessor, false, 0));
            actions.add(new KeyAction.SendRelease(
                    callId, predecessor, assignment.firstKey(), assignment.lastKey(), assignment.fence()));
        }
        return false;
    }

    private void grant(
            KeyAssignment assignment, long holdMillis, RangeState state, List<KeyAction> actions, long nowNanos) {
        long before = owners.noteGrant(assignment.owner(), holdMillis, nowNanos);
        boolean isRenewal = state.fence != NO_FENCE;
        state.fence = isRenewal ? state.fence : fences.take();
        state.grantCallId = callNumbers.next();
        state.grantDueNanos = nowNanos + (long) (holdMillis * RENEW_PART * 1e6);
        callById.put(state.grantCallId, new Call(assignment, assignment.owner(), true, before));
        String handover = state.isGranted
                ? ""
                : state.handoverByReleased.values().stream()
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
                holdMillis,
                handover));
    }

    /** The grants of all ranges are due now, for a longer hold. */
    void renewAllNow(long nowNanos) {
        stateByRange.values().forEach(state -> state.grantDueNanos = nowNanos);
    }

    /** A grant was taken. */
    void granted(long callId) {
        ended(callId).ifPresent(call -> {
            owners.noteAnswered(call.owner());
            stateOf(call, callId).ifPresent(state -> state.isGranted = true);
        });
    }

    void refused(long callId) {
        ended(callId).ifPresent(call -> {
            owners.noteAnswered(call.owner());
            stateOf(call, callId).ifPresent(state -> state.isFenceTooLow = true);
        });
    }

    void unanswered(long callId, boolean wasSent, long nowNanos) {
        ended(callId).ifPresent(call -> {
            owners.noteUnanswered(call.owner(), nowNanos);
            if (call.isGrant() && !wasSent) {
                owners.undoGrant(call.owner(), call.heldBeforeNanos());
            }
            stateOf(call, callId).filter(state -> call.isGrant()).ifPresent(state -> {
                state.fence = NO_FENCE;
                state.grantDueNanos = nowNanos + REPEAT_MILLIS * 1_000_000L;
            });
        });
    }

    /** A renewal was not sent, since another process may have the server's address; it needs a new fence. */
    void unproved(long callId, long nowNanos) {
        ended(callId).ifPresent(call -> {
            owners.undoGrant(call.owner(), call.heldBeforeNanos());
            stateOf(call, callId).ifPresent(state -> {
                state.fence = NO_FENCE;
                state.grantDueNanos = nowNanos;
            });
        });
    }

    void released(long callId, String handover) {
        ended(callId).ifPresent(call -> {
            owners.noteAnswered(call.owner());
            stateOf(call, callId).ifPresent(state -> state.handoverByReleased.put(call.owner(), handover));
        });
    }

    /** The server of the call has ended: it holds nothing any more. */
    void gone(long callId, long nowNanos) {
        ended(callId).ifPresent(call -> {
            owners.noteGone(call.owner(), nowNanos);
            stateOf(call, callId);
        });
    }

    private Optional<Call> ended(long callId) {
        return Optional.ofNullable(callById.remove(callId));
    }

    /** The state of the call's range, whose call is over now; empty when the map no longer has the range. */
    private Optional<RangeState> stateOf(Call call, long callId) {
        Optional<RangeState> state = stateByRange.entrySet().stream()
                .filter(entry -> covers(call.assignment(), entry.getKey()))
                .map(Map.Entry::getValue)
                .findFirst();
        state.filter(found -> found.grantCallId == callId).ifPresent(found -> found.grantCallId = 0);
        return state;
    }

    /** A call that has no answer yet. Immutable. */
    private record Call(KeyAssignment assignment, Owner owner, boolean isGrant, long heldBeforeNanos) {}

    /** The state of the calls for one range. */
    private static final class RangeState {
        private final Map<Owner, String> handoverByReleased = new HashMap<>();
        private final Map<Owner, Long> releaseDueNanos = new HashMap<>();
        private long fence = NO_FENCE;
        private long grantCallId;
        private long grantDueNanos = Long.MIN_VALUE / 2;
        private boolean isGranted;
        private boolean isFenceTooLow;
        private int releaseCallCount;

        private int releaseCalls() {
            return ++releaseCallCount;
        }

        /** The state of a part of the range, whose own grant follows soon. */
        private RangeState forPart() {
            RangeState part = new RangeState();
            part.fence = fence;
            part.isGranted = isGranted;
            part.grantDueNanos = grantDueNanos;
            return part;
        }
    }
}
