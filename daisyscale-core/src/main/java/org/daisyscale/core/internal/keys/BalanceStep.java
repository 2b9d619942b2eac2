package org.daisyscale.core.internal.keys;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;

/**
 * Takes keys from the servers with the largest share of their capacity in use and gives them to that with the smallest.
 * Answers hot keys, uneven servers and joined ones. Of all ranges with about the right load the one with the fewest
 * keys moves, so that a hot spot moves alone and little of the key space changes hands. Stateless.
 */
final class BalanceStep implements PlanStep {
    /** Moves in one plan: more would outrun the reports that show their effect. */
    private static final int MOVES_PER_PLAN = 12;
    /** Ranges of a service, for each server: bounds the calls that renew their grants. */
    private static final int RANGES_PER_SERVER = 8;
    /** The largest share may exceed the even one by this factor before keys move: less changes no answer's time. */
    private static final double UNEVEN_FACTOR = 1.25;
    /** An excess below this many standard deviations of the count that shows it is taken for noise. */
    private static final double NOISE_DEVIATIONS = 1.2;
    /** Below this share of its capacity a server answers without waiting, and nothing is gained by a move. */
    private static final double BUSY_SHARE = 0.5;
    /** A server without keys gets this part of an even share at first; the rest follows by its reports. */
    private static final double JOIN_PART = 0.6;

    @Override
    public void plan(MapDraft draft, PlanContext context) {
        ServerLoads loads = new ServerLoads(draft, context);
        for (int move = 0; move < MOVES_PER_PLAN; move++) {
            boolean isFull = draft.assignments().size()
                    >= RANGES_PER_SERVER * context.usable().size();
            if (isFull || !moveOne(draft, loads, context)) {
                return;
            }
        }
    }

    /** Moves a part of the fullest server that has one to move to the emptiest; whether it did. */
    private static boolean moveOne(MapDraft draft, ServerLoads loads, PlanContext context) {
        Optional<Owner> to = loads.least();
        return to.isPresent()
                && loads.mostFirst().stream()
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
        double even = loads.evenShare();
        if (draft.ownedBy(to).isEmpty()) {
            return even * loads.capacity(to) * JOIN_PART;
        }
        double most = loads.share(from);
        if (most < BUSY_SHARE || most < even * UNEVEN_FACTOR) {
            return 0;
        }
        double over = (most - even) * loads.capacity(from);
        double seconds = context.load().windowSeconds();
        if (over * seconds < NOISE_DEVIATIONS * Math.sqrt(even * loads.capacity(from) * seconds)) {
            return 0;
        }
        double room = (even - loads.share(to)) * loads.capacity(to);
        return Math.min(over, room);
    }

    /** The keys to move: part of one settled range. Immutable. */
    record HotSpot(KeyAssignment assignment, int firstKey, int lastKey) {
        /** The load of a spot may be this part of what is wanted at least. */
        private static final double LEAST_PART = 0.6;
        /** Fewer requests in the window than this are chance. */
        private static final double DENSE_REQUESTS = 6;
        /** A spot is dense when its keys have this many times the load of the range's other keys. */
        private static final double DENSE_FACTOR = 6;
        /** The load of a spot may be this many times what is wanted at most. */
        private static final double MOST_PART = 1.3;

        /**
         * The part of the settled {@code assignments} to move for {@code rate}: a spot of few keys where the load is
         * dense, else the edge of the range with the most load, whose sample is not chosen by its own chance.
         */
        static Optional<HotSpot> find(List<KeyAssignment> assignments, double rate, LoadBook load) {
            List<KeyAssignment> settled =
                    assignments.stream().filter(KeyAssignment::isSettled).toList();
            return settled.stream()
                    .map(assignment -> findIn(assignment, rate, load))
                    .filter(spot -> spot != null && spot.isDense(load))
                    .min(Comparator.comparingInt(HotSpot::keyCount))
                    .or(() -> settled.stream()
                            .sorted((one, other) -> Double.compare(load.weight(other), load.weight(one)))
                            .map(assignment -> edgeOf(assignment, rate, load))
                            .filter(Objects::nonNull)
                            .findFirst());
        }

        private boolean isDense(LoadBook load) {
            double spotRate = load.rate(firstKey, lastKey);
            double meanRate = load.rate(assignment) / assignment.keyCount() * keyCount();
            return spotRate * load.windowSeconds() >= DENSE_REQUESTS && spotRate > DENSE_FACTOR * meanRate;
        }

        /** The shorter of the two edges of {@code assignment} with about {@code rate}; null when a key is too hot. */
        private static HotSpot edgeOf(KeyAssignment assignment, double rate, LoadBook load) {
            int last = assignment.firstKey();
            double sum = load.weight(last);
            while (last < assignment.lastKey() && sum + load.weight(last + 1) <= rate) {
                sum += load.weight(++last);
            }
            int first = assignment.lastKey();
            double otherSum = load.weight(first);
            while (first > assignment.firstKey() && otherSum + load.weight(first - 1) <= rate) {
                otherSum += load.weight(--first);
            }
            boolean isFirstEdge = last - assignment.firstKey() <= assignment.lastKey() - first;
            if ((isFirstEdge ? sum : otherSum) > rate * MOST_PART) {
                return null;
            }
            return isFirstEdge
                    ? new HotSpot(assignment, assignment.firstKey(), last)
                    : new HotSpot(assignment, first, assignment.lastKey());
        }

        private static HotSpot findIn(KeyAssignment assignment, double rate, LoadBook load) {
            HotSpot best = null;
            int first = assignment.firstKey();
            double sum = 0;
            for (int last = assignment.firstKey(); last <= assignment.lastKey(); last++) {
                sum += load.rate(last);
                while (first < last && sum - load.rate(first) >= rate * LEAST_PART) {
                    sum -= load.rate(first++);
                }
                boolean isRight = sum >= rate * LEAST_PART && sum <= rate * MOST_PART;
                if (isRight && (best == null || last - first + 1 < best.keyCount())) {
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
