package org.daisyscale.core.internal.keys;

import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;

/**
 * Lets a range move when no grant to its owner is in flight and an owner that answers has proved that none takes effect
 * late. An owner that gives no answer is asked again as long as that can't lengthen the wait for its earlier grants.
 *
 * <p>The record is immutable; the trackers that it refers to are not. Not thread-safe; confined to the core thread.
 *
 * @param proofMillis how long a grant that is sent now for a proof may take effect, in milliseconds
 * @param nowNanos when the moves are planned, in nanoseconds of the monotonic clock
 */
record OwnerMoveGuard(
        ServerRegistry registry,
        OwnerTracker owners,
        HoldLedger holds,
        RangeCallCoordinator calls,
        long proofMillis,
        long nowNanos)
        implements MoveGuard {

    @Override
    public boolean mayMove(KeyAssignment assignment) {
        Owner owner = assignment.owner();
        if (hasEnded(assignment) || !holds.mayTakeEffectLater(owner, assignment, nowNanos)) {
            return true;
        }
        if (holds.isInFlight(owner, assignment)) {
            calls.postponeRenewal(assignment, nowNanos);
            return false;
        }
        boolean isProofExpected = holds.lacksOnlyProof(owner, assignment, nowNanos) && !owners.isLost(owner, nowNanos);
        if (isProofExpected || holds.lateMillis(owner, assignment, nowNanos) > proofMillis) {
            calls.postponeRenewal(assignment, nowNanos);
            calls.requestProof(assignment);
            return false;
        }
        return true;
    }

    @Override
    public long lateGrantMillis(KeyAssignment assignment) {
        return hasEnded(assignment) ? 0 : holds.lateMillis(assignment.owner(), assignment, nowNanos);
    }

    private boolean hasEnded(KeyAssignment assignment) {
        return registry.isReplaced(assignment.owner()) || !holds.mayHold(assignment.owner(), assignment, nowNanos);
    }
}
