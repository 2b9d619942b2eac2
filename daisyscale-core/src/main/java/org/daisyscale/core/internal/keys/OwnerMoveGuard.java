package org.daisyscale.core.internal.keys;

import java.util.function.Consumer;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;

/**
 * Lets a range move when no grant to its owner is in flight and an owner that answers has proved that none takes
 * effect late. A move doesn't wait for an owner that gives no answer.
 *
 * <p>The record is immutable; the trackers that it refers to are not. Not thread-safe; confined to the core thread.
 *
 * @param proofRequests takes the ranges whose owners have to prove that no earlier grant takes effect late
 * @param nowNanos when the moves are planned, in nanoseconds of the monotonic clock
 */
record OwnerMoveGuard(
        ServerRegistry registry,
        OwnerTracker owners,
        HoldLedger holds,
        Consumer<KeyAssignment> proofRequests,
        long nowNanos)
        implements MoveGuard {

    @Override
    public boolean mayMove(KeyAssignment assignment) {
        Owner owner = assignment.owner();
        if (hasEnded(assignment) || !holds.mayTakeEffectLater(owner, assignment, nowNanos)) {
            return true;
        }
        if (holds.lacksOnlyProof(owner, assignment, nowNanos) && !owners.isLost(owner, nowNanos)) {
            proofRequests.accept(assignment);
            return false;
        }
        return !holds.isInFlight(owner, assignment);
    }

    @Override
    public long lateGrantMillis(KeyAssignment assignment) {
        return hasEnded(assignment) ? 0 : holds.lateMillis(assignment.owner(), assignment, nowNanos);
    }

    private boolean hasEnded(KeyAssignment assignment) {
        return registry.isReplaced(assignment.owner()) || !holds.mayHold(assignment.owner(), assignment, nowNanos);
    }
}
