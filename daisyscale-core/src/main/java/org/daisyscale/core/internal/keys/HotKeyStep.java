package org.daisyscale.core.internal.keys;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;

/**
 * Gives a key that is too hot for its owner to the server that can do the most for it. Answers one hot key: it can't be
 * shared, so how many of its requests are served is up to its owner's speed, and all else there has to leave, which
 * {@link BalanceStep} sees to. Stateless.
 */
final class HotKeyStep implements PlanStep {
    /** A key with more than this part of its owner's capacity waits for itself. */
    private static final double HOT_PART = 0.6;
    /** Fewer requests in the window than this are chance. */
    private static final double HOT_REQUESTS = 10;
    /** The other server has to be faster by this factor: a move costs about an answer's time. */
    private static final double FASTER_FACTOR = 1.3;

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
        int key = context.load().hottest(assignment);
        double rate = context.load().rate(key);
        double capacity = loads.bearable(assignment.owner());
        boolean isHot = rate * context.load().windowSeconds() >= HOT_REQUESTS && rate > capacity * HOT_PART;
        if (capacity == 0 || !isHot) {
            return;
        }
        fastest(loads, rate, capacity).ifPresent(owner -> {
            draft.move(assignment, key, key, owner);
            loads.add(assignment.owner(), -rate);
            loads.add(owner, rate);
        });
    }

    /** The fastest server that isn't hot itself, if it is well faster than {@code capacity}. */
    private static Optional<Owner> fastest(ServerLoads loads, double rate, double capacity) {
        List<Owner> owners = loads.mostFirst();
        return owners.stream()
                .filter(owner -> loads.bearable(owner) > capacity * FASTER_FACTOR)
                .filter(owner -> loads.share(owner) <= 1 || rate > loads.bearable(owner))
                .max(Comparator.comparingDouble(loads::bearable));
    }
}
