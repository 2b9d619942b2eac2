package org.daisyscale.core.internal.keys;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.daisyscale.core.serving.KeyAssignment;

/**
 * Gives small ranges that are no longer hot to the owner of a range beside them, so that the cuts of hot ranges don't
 * add up to the limit of ranges. Stateless.
 */
final class ConsolidateStep implements PlanStep {
    /** Below this many ranges per server, the calls that renew grants cost less than the moves. */
    private static final int MIN_RANGES_PER_SERVER = 3;
    /** A range with more keys than this is not the piece of a hot range. */
    private static final int MAX_KEYS = 256;
    /** A range with more than this fraction of its new owner's capacity is still hot. */
    private static final double MAX_LOAD_FRACTION = 0.02;
    /** The new owner's utilization afterwards, below which chance doesn't overload it. */
    private static final double MAX_UTILIZATION = 0.6;

    @Override
    public void plan(MapDraft draft, PlanContext context) {
        List<KeyAssignment> ranges = draft.assignments();
        if (ranges.size() <= MIN_RANGES_PER_SERVER * context.usable().size()) {
            return;
        }
        ServerLoads loads = new ServerLoads(draft, context);
        ranges.stream()
                .filter(range -> range.isSettled() && range.keyCount() <= MAX_KEYS)
                .filter(range -> !context.history().hasMoved(range.firstKey(), range.lastKey(), context.nowNanos()))
                .sorted(Comparator.comparingInt(KeyAssignment::keyCount))
                .flatMap(range -> newNeighbour(range, ranges, loads, context).stream()
                        .map(neighbour -> new Change(range, neighbour)))
                .findFirst()
                .ifPresent(change -> draft.move(
                        change.range(),
                        change.range().firstKey(),
                        change.range().lastKey(),
                        change.neighbour().owner()));
    }

    /** Returns a settled range beside {@code range} whose owner has room for it and that the keys have not left. */
    private static Optional<KeyAssignment> newNeighbour(
            KeyAssignment range, List<KeyAssignment> ranges, ServerLoads loads, PlanContext context) {
        double rate = context.load().demand(range).rate();
        return ranges.stream()
                .filter(other -> other.lastKey() + 1 == range.firstKey() || range.lastKey() + 1 == other.firstKey())
                .filter(other -> other.isSettled()
                        && !other.owner().equals(range.owner())
                        && loads.isKnown(other.owner())
                        && rate < MAX_LOAD_FRACTION * loads.capacity(other.owner())
                        && loads.rate(other.owner()) + rate < MAX_UTILIZATION * loads.capacity(other.owner()))
                .filter(other -> !context.history()
                        .hasLeft(other.owner(), range.firstKey(), range.lastKey(), context.nowNanos()))
                .max(Comparator.comparingInt(KeyAssignment::keyCount));
    }

    /** A range that goes to its neighbour's owner. Immutable. */
    private record Change(KeyAssignment range, KeyAssignment neighbour) {}
}
