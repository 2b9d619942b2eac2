package org.daisyscale.core.internal.keys;

import org.daisyscale.core.serving.KeyAssignment;

/** Completes moves whose new owner accepted its grant, and raises fences that a server rejected. Stateless. */
final class SettleStep implements PlanStep {

    @Override
    public void plan(MapDraft draft, PlanContext context) {
        for (KeyAssignment assignment : draft.assignments()) {
            if (context.calls().isFenceTooLow(assignment)) {
                draft.raiseFence(assignment);
            } else if (!assignment.isSettled() && context.calls().isGranted(assignment)) {
                draft.settle(assignment);
            }
        }
    }
}
