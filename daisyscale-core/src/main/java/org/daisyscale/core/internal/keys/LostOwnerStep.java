package org.daisyscale.core.internal.keys;

import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;

/**
 * Moves the ranges of servers that are leaving, lost or in an evacuated data centre to the other servers, in pieces,
 * each to the one that is least loaded with all moves so far. At high load, a single new owner would be overloaded with
 * all of a lost server's keys. Stateless.
 */
final class LostOwnerStep implements PlanStep {
    /** A piece has at least this fraction of a server's even share, so that a range isn't cut into many pieces. */
    private static final double MIN_PIECE_FRACTION = 0.3;

    /** An owner whose load exceeds the even one by this factor is busier than a return of the keys is worth. */
    private static final double MAX_IMBALANCE_FACTOR = 1.1;

    @Override
    public void plan(MapDraft draft, PlanContext context) {
        if (draft.assignments().stream().allMatch(assignment -> context.canKeepKeys(assignment.owner()))) {
            return;
        }
        ServerLoads loads = new ServerLoads(draft, context);
        double even = evenUtilization(draft, loads, context);
        for (KeyAssignment assignment : draft.assignments()) {
            if (!context.canKeepKeys(assignment.owner())) {
                reassign(assignment, draft, loads, even, context);
            }
        }
    }

    /** Returns the utilization of the remaining servers when they share the load of all keys evenly. */
    private static double evenUtilization(MapDraft draft, ServerLoads loads, PlanContext context) {
        double rate = draft.assignments().stream()
                .mapToDouble(assignment -> context.load().demand(assignment).rate())
                .sum();
        double capacity =
                loads.owners().stream().mapToDouble(loads::weightedCapacity).sum();
        return rate / Math.max(1, capacity);
    }

    /** Returns the least loaded owner that the keys have not left lately, unless it has less room than others. */
    private static Owner newOwner(KeyAssignment rest, ServerLoads loads, double even, PlanContext context) {
        MoveHistory history = context.history();
        return loads.leastLoaded(owner -> !history.hasLeft(owner, rest.firstKey(), rest.lastKey(), context.nowNanos()))
                .filter(owner -> loads.weightedUtilization(owner) < even * MAX_IMBALANCE_FACTOR)
                .or(loads::leastLoaded)
                .orElse(null);
    }

    private static void reassign(
            KeyAssignment assignment, MapDraft draft, ServerLoads loads, double even, PlanContext context) {
        RangeDemand demand = context.load().demand(assignment);
        KeyAssignment rest = assignment;
        while (rest != null) {
            Owner newOwner = newOwner(rest, loads, even, context);
            if (newOwner == null || newOwner.equals(rest.owner())) {
                return;
            }
            double share = even * loads.weightedCapacity(newOwner);
            double maxRate = Math.max(share * MIN_PIECE_FRACTION, share - loads.rate(newOwner));
            int lastKey = Math.max(rest.firstKey(), demand.lastKeyWithin(rest.firstKey(), rest.lastKey(), maxRate));
            draft.move(rest, rest.firstKey(), lastKey, newOwner);
            loads.add(newOwner, demand.rate(rest.firstKey(), lastKey));
            rest = lastKey < rest.lastKey() ? rest.withKeys(lastKey + 1, rest.lastKey()) : null;
        }
    }
}
