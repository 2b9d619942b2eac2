package org.daisyscale.core.internal.keys;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;

/**
 * Moves keys from the servers with the highest utilization to the one with the lowest. Handles hot keys, servers of
 * unequal speed and servers that joined. Among the ranges with about the required load the one with the fewest keys
 * moves, so that a hot spot moves alone and few keys change owner. Stateless.
 */
final class BalanceStep implements PlanStep {
    /** Limits the moves of one plan: further moves would be planned before load reports show the effect of these. */
    private static final int MAX_MOVES_PER_PLAN = 12;
    /** Limits the ranges of a service per server, and with them the calls that renew their grants. */
    private static final int MAX_RANGES_PER_SERVER = 8;
    /** Keys move once the highest utilization exceeds the even one by this factor; less does not affect latency. */
    private static final double IMBALANCE_FACTOR = 1.25;
    /** An excess below this many standard deviations of the request count that shows it counts as noise. */
    private static final double NOISE_DEVIATIONS = 1.2;
    /** Below this utilization a server answers without queueing, so that a move gains nothing. */
    private static final double MIN_UTILIZATION = 0.5;
    /** Fraction of an even share that a server without keys gets first; the rest follows its load reports. */
    private static final double JOIN_FRACTION = 0.6;

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
                && loads.mostLoadedFirst().stream()
                        .filter(from -> !from.equals(to.get()))
                        .anyMatch(from -> moveOne(draft, loads, context, from, to.get()));
    }

    private static boolean moveOne(MapDraft draft, ServerLoads loads, PlanContext context, Owner from, Owner to) {
        double rate = rateToMove(draft, loads, context, from, to);
        if (rate <= 0) {
            return false;
        }
        Optional<HotSpot> found = HotSpot.find(draft.ownedBy(from), rate, context.load());
        found.ifPresent(spot -> {
            draft.move(spot.assignment(), spot.firstKey(), spot.lastKey(), to);
            double moved = loads.rate(spot.assignment().withKeys(spot.firstKey(), spot.lastKey()));
            loads.add(from, -moved);
            loads.add(to, moved);
        });
        return found.isPresent();
    }

    private static double rateToMove(MapDraft draft, ServerLoads loads, PlanContext context, Owner from, Owner to) {
        double even = loads.evenUtilization();
        if (draft.ownedBy(to).isEmpty()) {
            return even * loads.weightedCapacity(to) * JOIN_FRACTION;
        }
        double fromUtilization = loads.utilization(from);
        if (fromUtilization < MIN_UTILIZATION || fromUtilization < even * IMBALANCE_FACTOR) {
            return 0;
        }
        double excess = (fromUtilization - even) * loads.weightedCapacity(from);
        double seconds = context.load().windowSeconds();
        if (excess * seconds < NOISE_DEVIATIONS * Math.sqrt(even * loads.weightedCapacity(from) * seconds)) {
            return 0;
        }
        double headroom = (even - loads.utilization(to)) * loads.weightedCapacity(to);
        return Math.min(excess, headroom);
    }

    /** The keys to move, a subrange of one settled range. Immutable. */
    record HotSpot(KeyAssignment assignment, int firstKey, int lastKey) {
        /** Lower bound of a spot's load, as a factor of the required rate. */
        private static final double MIN_RATE_FACTOR = 0.6;
        /** Fewer requests than this in the decay window may be chance. */
        private static final double MIN_DENSE_REQUESTS = 6;
        /** A spot is dense when its load exceeds the mean load of as many keys of its range by this factor. */
        private static final double DENSE_FACTOR = 6;
        /** Upper bound of a spot's load, as a factor of the required rate. */
        private static final double MAX_RATE_FACTOR = 1.3;

        /**
         * Returns the keys of the settled {@code assignments} to move for {@code rate}, in requests per second: the
         * dense spot with the fewest keys, or else an edge of the most loaded range. An edge is not selected by its own
         * measured load, which would favour keys that look busy by chance.
         */
        static Optional<HotSpot> find(List<KeyAssignment> assignments, double rate, LoadTracker load) {
            List<KeyAssignment> settled =
                    assignments.stream().filter(KeyAssignment::isSettled).toList();
            return settled.stream()
                    .map(assignment -> findIn(assignment, rate, load))
                    .filter(spot -> spot != null && spot.isDense(load))
                    .min(Comparator.comparingInt(HotSpot::keyCount))
                    .or(() -> settled.stream()
                            .sorted((one, other) ->
                                    Double.compare(load.rateWithBaseline(other), load.rateWithBaseline(one)))
                            .map(assignment -> findEdge(assignment, rate, load))
                            .filter(Objects::nonNull)
                            .findFirst());
        }

        private boolean isDense(LoadTracker load) {
            double spotRate = load.rate(firstKey, lastKey);
            double meanRate = load.rate(assignment) / assignment.keyCount() * keyCount();
            return spotRate * load.windowSeconds() >= MIN_DENSE_REQUESTS && spotRate > DENSE_FACTOR * meanRate;
        }

        /** Returns the shorter edge of {@code assignment} with about {@code rate}; null if its keys are too hot. */
        private static HotSpot findEdge(KeyAssignment assignment, double rate, LoadTracker load) {
            int last = assignment.firstKey();
            double sum = load.rateWithBaseline(last);
            while (last < assignment.lastKey() && sum + load.rateWithBaseline(last + 1) <= rate) {
                sum += load.rateWithBaseline(++last);
            }
            int first = assignment.lastKey();
            double otherSum = load.rateWithBaseline(first);
            while (first > assignment.firstKey() && otherSum + load.rateWithBaseline(first - 1) <= rate) {
                otherSum += load.rateWithBaseline(--first);
            }
            boolean isFirstEdge = last - assignment.firstKey() <= assignment.lastKey() - first;
            if ((isFirstEdge ? sum : otherSum) > rate * MAX_RATE_FACTOR) {
                return null;
            }
            return isFirstEdge
                    ? new HotSpot(assignment, assignment.firstKey(), last)
                    : new HotSpot(assignment, first, assignment.lastKey());
        }

        private static HotSpot findIn(KeyAssignment assignment, double rate, LoadTracker load) {
            HotSpot best = null;
            int first = assignment.firstKey();
            double sum = 0;
            for (int last = assignment.firstKey(); last <= assignment.lastKey(); last++) {
                sum += load.rate(last);
                while (first < last && sum - load.rate(first) >= rate * MIN_RATE_FACTOR) {
                    sum -= load.rate(first++);
                }
                boolean isWithinBounds = sum >= rate * MIN_RATE_FACTOR && sum <= rate * MAX_RATE_FACTOR;
                if (isWithinBounds && (best == null || last - first + 1 < best.keyCount())) {
                    best = new HotSpot(assignment, first, last);
                }
            }
            return best;
        }

        int keyCount() {
            return lastKey - firstKey + 1;
        }
    }
}
