package org.daisyscale.core.internal.keys;

import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;

/**
 * Moves the ranges of servers that are leaving, lost or in an evacuated data centre to the other servers, in pieces,
 * each to the least loaded one. At high load, a single new owner would be overloaded with all of a lost server's keys.
 * Stateless.
 */
final class LostOwnerStep implements PlanStep {
    /** Limits a piece to this fraction of a server's even share, so that several servers take over a range. */
    private static final double MAX_PIECE_FRACTION = 0.3;

    @Override
    public void plan(MapDraft draft, PlanContext context) {
        if (draft.assignments().stream().allMatch(assignment -> context.canKeepKeys(assignment.owner()))) {
            return;
        }
        ServerLoads loads = new ServerLoads(draft, context);
        for (KeyAssignment assignment : draft.assignments()) {
            if (!context.canKeepKeys(assignment.owner())) {
                reassign(assignment, draft, loads, context);
            }
        }
    }

    private static void reassign(KeyAssignment assignment, MapDraft draft, ServerLoads loads, PlanContext context) {
        KeyAssignment rest = assignment;
        while (rest != null) {
            Owner newOwner = loads.leastLoaded().orElse(null);
            if (newOwner == null || newOwner.equals(rest.owner())) {
                return;
            }
            int lastKey = pieceEnd(
                    rest, loads.evenUtilization() * loads.weightedCapacity(newOwner) * MAX_PIECE_FRACTION, context);
            KeyAssignment piece = rest.withKeys(rest.firstKey(), lastKey);
            if (!draft.move(rest, piece.firstKey(), lastKey, newOwner)) {
                return;
            }
            loads.add(newOwner, loads.rate(piece));
            rest = lastKey < rest.lastKey() ? rest.withKeys(lastKey + 1, rest.lastKey()) : null;
        }
    }

    private static int pieceEnd(KeyAssignment rest, double maxRate, PlanContext context) {
        double rate = 0;
        for (int key = rest.firstKey(); key < rest.lastKey(); key++) {
            rate += context.load().rate(key);
            if (rate > maxRate) {
                return key;
            }
        }
        return rest.lastKey();
    }
}
