package org.daisyscale.core.internal.keys;

import java.util.Comparator;
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
        Owner owner = assignment.owner();
        int key = context.load().hottest(assignment);
        double rate = context.load().rate(key);
        boolean isChance = rate * context.load().windowSeconds() < HOT_REQUESTS;
        if (isChance || !loads.isKnown(owner) || rate < loads.bearable(owner) * HOT_PART) {
            return;
        }
        faster(loads, owner).ifPresent(next -> {
            draft.move(assignment, key, key, next);
            loads.add(owner, -rate);
            loads.add(next, rate);
        });
    }

    /** The fastest server that isn't overloaded itself, if it is well faster than {@code owner}'s. */
    private static Optional<Owner> faster(ServerLoads loads, Owner owner) {
        double wanted = loads.bearable(owner) * FASTER_FACTOR;
        return loads.mostFirst().stream()
                .filter(other -> loads.bearable(other) > wanted && loads.share(other) <= 1)
                .max(Comparator.comparingDouble(loads::bearable));
    }
}
