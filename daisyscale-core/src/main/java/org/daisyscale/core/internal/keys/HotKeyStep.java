package org.daisyscale.core.internal.keys;

import java.util.Comparator;
import java.util.Optional;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;

/**
 * Moves a key that is too hot for its owner to the fastest server. A single key can't be split, so its throughput
 * depends on its owner's speed, and the owner's other keys have to move away, which {@link BalanceStep} does.
 * Stateless.
 */
final class HotKeyStep implements PlanStep {
    /** Above this fraction of its owner's capacity, requests for a key queue behind each other. */
    private static final double HOT_FRACTION = 0.6;
    /** Fewer requests than this in the decay window may be chance. */
    private static final double MIN_HOT_REQUESTS = 10;
    /** The other server must be faster by this factor, since a move costs about the latency of one request. */
    private static final double MIN_SPEED_RATIO = 1.3;

    @Override
    public void plan(MapDraft draft, PlanContext context) {
        ServerLoads loads = new ServerLoads(draft, context);
        for (KeyAssignment assignment : draft.assignments()) {
            if (assignment.isSettled()) {
                planFor(assignment, draft, loads, context);
            }
        }
    }

    private static void planFor(KeyAssignment assignment, MapDraft draft, ServerLoads loads, PlanContext context) {
        Owner owner = assignment.owner();
        int key = context.load().hottestKey(assignment);
        double rate = context.load().rate(key);
        boolean isChance = rate * context.load().windowSeconds() < MIN_HOT_REQUESTS;
        if (isChance || !loads.isKnown(owner) || rate < loads.capacity(owner) * HOT_FRACTION) {
            return;
        }
        fasterServer(loads, owner).ifPresent(newOwner -> {
            draft.move(assignment, key, key, newOwner);
            loads.add(owner, -rate);
            loads.add(newOwner, rate);
        });
    }

    /** Returns the fastest server that isn't overloaded, if it is faster than {@code owner} by the minimum ratio. */
    private static Optional<Owner> fasterServer(ServerLoads loads, Owner owner) {
        double minCapacity = loads.capacity(owner) * MIN_SPEED_RATIO;
        return loads.mostLoadedFirst().stream()
                .filter(other -> loads.capacity(other) > minCapacity && loads.utilization(other) <= 1)
                .max(Comparator.comparingDouble(loads::capacity));
    }
}
