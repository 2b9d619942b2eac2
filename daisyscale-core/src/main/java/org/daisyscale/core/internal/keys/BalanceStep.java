package org.daisyscale.core.internal.keys;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;

/**
 * Moves keys from the servers with the highest utilization to the one with the lowest while no server is overloaded.
 * Handles servers of unequal speed, keys of unequal load and servers that joined. Differences that hardly affect
 * latency remain, since a move pauses its keys and the new owner starts without their data. Stateless.
 */
final class BalanceStep implements PlanStep {
    /** Limits the moves of one plan: further moves would be planned before load reports show the effect of these. */
    private static final int MAX_MOVES_PER_PLAN = 12;
    /** Limits the ranges of a service per server, and with them the calls that renew their grants. */
    private static final int MAX_RANGES_PER_SERVER = 4;
    /** Keys move once the highest utilization exceeds the even one by this factor; less hardly affects latency. */
    private static final double IMBALANCE_FACTOR = 1.3;
    /** An excess below this many standard deviations of the measured rate counts as noise. */
    private static final double NOISE_DEVIATIONS = 2;
    /** Below this utilization a server answers nearly without queueing, so that a move gains little. */
    private static final double MIN_UTILIZATION = 0.7;
    /** The same if a server that joined has room: one move of an even share then lasts. */
    private static final double MIN_UTILIZATION_WITH_JOINED = 0.45;
    /** A server with less than this fraction of the even load has joined lately. */
    private static final double JOINED_FRACTION = 0.3;
    /** A server whose work takes longer than the mean by this factor gives keys away even if it isn't busy. */
    private static final double SLOW_FACTOR = 1.5;

    @Override
    public void plan(MapDraft draft, PlanContext context) {
        ServerLoads loads = new ServerLoads(draft, context);
        for (int move = 0; move < MAX_MOVES_PER_PLAN; move++) {
            boolean isFull = draft.assignments().size()
                    >= MAX_RANGES_PER_SERVER * context.usable().size();
            if (isFull || !moveOne(draft, loads, context)) {
                return;
            }
        }
    }

    /** Moves keys from the most loaded server that can give some to the least loaded; returns whether it did. */
    private static boolean moveOne(MapDraft draft, ServerLoads loads, PlanContext context) {
        Optional<Owner> to = loads.leastLoaded();
        return to.isPresent()
                && loads.owners().stream()
                        .filter(from -> !from.equals(to.get()) && !loads.isChanging(from))
                        .sorted(Comparator.comparingDouble(loads::weightedUtilization)
                                .reversed())
                        .anyMatch(from -> moveOne(draft, loads, context, from, to.get()));
    }

    private static boolean moveOne(MapDraft draft, ServerLoads loads, PlanContext context, Owner from, Owner to) {
        double rate = rateToMove(loads, from, to);
        if (rate <= 0) {
            return false;
        }
        List<KeyAssignment> movable = draft.ownedBy(from).stream()
                .filter(range -> !context.history().hasMoved(range.firstKey(), range.lastKey(), context.nowNanos()))
                .toList();
        Optional<KeySpan> found = KeySpan.findEdge(movable, rate, context.load());
        found.ifPresent(span -> {
            double moved = context.load().demand(span.assignment()).rate(span.firstKey(), span.lastKey());
            draft.move(span.assignment(), span.firstKey(), span.lastKey(), to);
            loads.add(from, -moved);
            loads.add(to, moved);
        });
        return found.isPresent();
    }

    private static double rateToMove(ServerLoads loads, Owner from, Owner to) {
        double even = loads.evenUtilization();
        double certainRate = Math.min(loads.rate(from), loads.certainRate(from, NOISE_DEVIATIONS));
        boolean hasJoined = loads.weightedUtilization(to) < even * JOINED_FRACTION;
        double minUtilization = hasJoined ? MIN_UTILIZATION_WITH_JOINED : MIN_UTILIZATION;
        boolean isBusy = certainRate > minUtilization * loads.capacity(from);
        boolean isSlow = loads.relativeServiceTime(from) > SLOW_FACTOR;
        boolean isUneven = loads.weightedUtilization(from) > even * IMBALANCE_FACTOR
                && certainRate > even * loads.weightedCapacity(from);
        if (!isUneven || !(isBusy || isSlow)) {
            return 0;
        }
        double excess = loads.rate(from) - even * loads.weightedCapacity(from);
        double headroom = even * loads.weightedCapacity(to) - loads.rate(to);
        return Math.min(excess, headroom);
    }
}
