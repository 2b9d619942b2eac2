package org.daisyscale.core.internal.keys;

import java.util.Comparator;
import java.util.Optional;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;

/**
 * Moves a key that is too hot for its owner to the server that has the most capacity for it. A single key can't be
 * split, so its throughput depends on its owner's speed and other load; {@link OverloadStep} moves the owner's other
 * keys away. Stateless.
 */
final class HotKeyStep implements PlanStep {
    /** Above this fraction of its owner's capacity, requests for a key queue behind each other. */
    private static final double HOT_FRACTION = 0.6;
    /** Fewer requests than this in the window of the measurement may be chance. */
    private static final double MIN_HOT_REQUESTS = 5;
    /**
     * The other server's utilization with the key may exceed that of the key's owner without its other keys by this
     * factor at most: else moving the owner's other keys away serves the key better.
     */
    private static final double MAX_UTILIZATION_FACTOR = 1.1;

    /** The same for a key whose owner has hardly other load: the move pauses it for about one request's latency. */
    private static final double ALONE_FACTOR = 0.77;
    /** A key with more than this fraction of its owner's load is alone there. */
    private static final double ALONE_FRACTION = 0.95;

    @Override
    public void plan(MapDraft draft, PlanContext context) {
        ServerLoads loads = new ServerLoads(draft, context);
        for (KeyAssignment assignment : draft.assignments()) {
            if (assignment.isSettled() && loads.isKnown(assignment.owner())) {
                planFor(assignment, draft, loads, context);
            }
        }
    }

    private static void planFor(KeyAssignment assignment, MapDraft draft, ServerLoads loads, PlanContext context) {
        Owner owner = assignment.owner();
        RangeDemand demand = context.load().demand(assignment);
        if (demand.rate() < loads.capacity(owner) * HOT_FRACTION) {
            return;
        }
        int key = demand.hottestKey(assignment.firstKey(), assignment.lastKey());
        double rate = demand.rate(key, key);
        boolean isChance = demand.requestCount(key, key) < MIN_HOT_REQUESTS;
        boolean isOverloaded = loads.certainRate(owner, 0) > OverloadStep.OVERLOAD_UTILIZATION * loads.capacity(owner);
        if (isChance || !isOverloaded || rate < loads.capacity(owner) * HOT_FRACTION) {
            return;
        }
        betterServer(key, rate, owner, loads, context).ifPresent(newOwner -> {
            draft.move(assignment, key, key, newOwner);
            loads.add(owner, -rate);
            loads.add(newOwner, rate);
        });
    }

    /** Returns the server that the key would utilize least, if that is no more than a server with only this key. */
    private static Optional<Owner> betterServer(
            int key, double rate, Owner owner, ServerLoads loads, PlanContext context) {
        boolean isAlone = rate > loads.rate(owner) * ALONE_FRACTION;
        double maxUtilization = rate / loads.capacity(owner) * (isAlone ? ALONE_FACTOR : MAX_UTILIZATION_FACTOR);
        return loads.owners().stream()
                .filter(other -> !other.equals(owner))
                .filter(other -> !context.history().hasLeft(other, key, key, context.nowNanos()))
                .min(Comparator.comparingDouble(other -> utilizationWith(rate, other, loads)))
                .filter(other -> utilizationWith(rate, other, loads) < maxUtilization);
    }

    private static double utilizationWith(double rate, Owner owner, ServerLoads loads) {
        return (loads.rate(owner) + rate) / loads.capacity(owner);
    }
}
