package org.daisyscale.core.internal.keys;

import java.util.Comparator;
import java.util.Optional;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;

/**
 * Moves keys away from servers with more load than they can serve within the latency objective. A hot range is cut into
 * adjacent pieces for as many servers as its demand needs, all in one plan, so that each key moves once. Stateless.
 */
final class OverloadStep implements PlanStep {
    /** A server above this utilization is overloaded: requests wait for about as long as their work takes. */
    static final double OVERLOAD_UTILIZATION = 0.85;
    /** Utilization up to which servers are filled: requests hardly wait, and chance doesn't overload the server. */
    private static final double TARGET_UTILIZATION = 0.7;
    /**
     * Utilization up to which servers are filled with a hot region: its few keys may as well be spread over more
     * servers, and its demand is known least.
     */
    private static final double REGION_TARGET_UTILIZATION = 0.55;
    /** While all servers together are overloaded, a server has to exceed the mean by this factor. */
    private static final double IMBALANCE_FACTOR = 1.2;
    /** The same for a server with a hot region: its keys are few, and its demand is only beginning to show. */
    private static final double REGION_OVERLOAD_UTILIZATION = 0.75;
    /** Keys move once the load exceeds the limit by this many standard deviations. */
    private static final double MIN_DEVIATIONS = 1.2;
    /** Other keys move once a load that is changing exceeds the limit by this many, since they are many. */
    private static final double CHANGING_EDGE_DEVIATIONS = 2.5;
    /** Fraction of a server's capacity below which a move gains less than the pause of the moving keys costs. */
    private static final double MIN_MOVED_FRACTION = 0.05;
    /** Limits the moves of one plan, and with them the calls that are made at once. */
    private static final int MAX_MOVES_PER_PLAN = 24;
    /** Limits the ranges of a service per server, and with them the calls that renew their grants. */
    private static final int MAX_RANGES_PER_SERVER = 8;

    @Override
    public void plan(MapDraft draft, PlanContext context) {
        ServerLoads loads = new ServerLoads(draft, context);
        int maxRanges = Math.min(
                draft.assignments().size() + MAX_MOVES_PER_PLAN,
                MAX_RANGES_PER_SERVER * context.usable().size());
        loads.owners().stream()
                .filter(owner -> isAbove(REGION_OVERLOAD_UTILIZATION, MIN_DEVIATIONS, owner, loads))
                .sorted(Comparator.comparingDouble(loads::utilization).reversed())
                .toList()
                .forEach(donor -> relieve(donor, draft, context, loads, maxRanges));
    }

    private static boolean isAbove(double utilization, double deviations, Owner owner, ServerLoads loads) {
        double limit = Math.max(utilization, loads.evenUtilization() * IMBALANCE_FACTOR);
        return loads.certainRate(owner, deviations) > limit * loads.capacity(owner);
    }

    /**
     * Spreads the donor's hottest region. Only a donor without one, or with one that is a single key, gives away other
     * keys, which are many.
     */
    private static void relieve(Owner donor, MapDraft draft, PlanContext context, ServerLoads loads, int maxRanges) {
        double even = loads.evenUtilization();
        double edgeDeviations = loads.isChanging(donor) ? CHANGING_EDGE_DEVIATIONS : MIN_DEVIATIONS;
        Optional<HotRegion> region = HotRegion.find(draft.ownedBy(donor), context.load());
        if (region.isPresent() && !region.get().isOneKey()) {
            new Relief(draft, context, loads, Math.max(REGION_TARGET_UTILIZATION, even), maxRanges)
                    .spread(region.get(), donor);
        } else if (region.isPresent() || isAbove(OVERLOAD_UTILIZATION, edgeDeviations, donor, loads)) {
            new Relief(draft, context, loads, Math.max(TARGET_UTILIZATION, even), maxRanges).moveEdges(donor);
        }
    }

    /** Moves keys from overloaded servers within one plan. Not thread-safe. */
    private record Relief(MapDraft draft, PlanContext context, ServerLoads loads, double target, int maxRanges) {

        /** Moves the keys of {@code region} in adjacent pieces; the donor keeps what it has room for. */
        private void spread(HotRegion region, Owner donor) {
            double excess = loads.rate(donor) - target * loads.capacity(donor);
            KeyAssignment rest = region.assignment();
            int first = region.firstKey();
            while (rest != null && first <= region.lastKey() && excess > minRate(donor)) {
                Optional<Owner> to = receiver(first, region.lastKey(), donor);
                int last = to.isEmpty() ? first - 1 : region.lastKeyWithin(first, Math.min(excess, room(to.get())));
                if (last < first) {
                    return;
                }
                double rate = region.rate(first, last);
                rest = move(rest, first, last, rate, donor, to.get());
                excess -= rate;
                first = last + 1;
            }
        }

        /** Moves edges of the donor's ranges until it has no more than it can serve, by the measured rate. */
        private void moveEdges(Owner donor) {
            double excess = loads.certainRate(donor, 0) - target * loads.capacity(donor);
            double moved = excess;
            while (excess > minRate(donor) && moved > 0) {
                moved = moveEdge(donor, excess);
                excess -= moved;
            }
        }

        private double moveEdge(Owner donor, double maxRate) {
            Optional<Owner> to = receiver(0, -1, donor);
            Optional<KeySpan> edge = to.flatMap(
                    owner -> KeySpan.findEdge(draft.ownedBy(donor), Math.min(maxRate, room(owner)), context.load()));
            if (edge.isEmpty()) {
                return 0;
            }
            KeySpan span = edge.get();
            double rate = context.load().demand(span.assignment()).rate(span.firstKey(), span.lastKey());
            move(span.assignment(), span.firstKey(), span.lastKey(), rate, donor, to.get());
            return rate;
        }

        private double minRate(Owner donor) {
            return loads.capacity(donor) * MIN_MOVED_FRACTION;
        }

        /** Moves keys of {@code range}; returns the part of the range behind them, or null if there is none. */
        private KeyAssignment move(KeyAssignment range, int first, int last, double rate, Owner donor, Owner to) {
            draft.move(range, first, last, to);
            loads.add(donor, -rate);
            loads.add(to, rate);
            return last < range.lastKey() ? range.withKeys(last + 1, range.lastKey()) : null;
        }

        private double room(Owner owner) {
            return target * loads.capacity(owner) - loads.rate(owner);
        }

        /** Returns the server with the most room among those that the keys have not left lately. */
        private Optional<Owner> receiver(int firstKey, int lastKey, Owner donor) {
            return loads.owners().stream()
                    .filter(owner -> !owner.equals(donor)
                            && room(owner) > minRate(owner)
                            && draft.assignments().size() < maxRanges)
                    .filter(owner -> !context.history().hasLeft(owner, firstKey, lastKey, context.nowNanos()))
                    .max(Comparator.comparingDouble(this::room));
        }
    }
}
