package org.daisyscale.core.internal.keys;

import java.util.List;
import org.daisyscale.core.serving.KeyAssignment;

/**
 * Merges adjacent ranges of one owner, so that splits for hot keys don't increase the number of grants without limit.
 * Stateless.
 */
final class MergeStep implements PlanStep {
    /** Limits the merges of one plan, since each costs a grant. */
    private static final int MAX_MERGES_PER_PLAN = 4;

    @Override
    public void plan(MapDraft draft, PlanContext context) {
        int merges = 0;
        while (merges < MAX_MERGES_PER_PLAN && mergeOne(draft, context)) {
            merges++;
        }
    }

    private static boolean mergeOne(MapDraft draft, PlanContext context) {
        List<KeyAssignment> assignments = draft.assignments();
        for (int index = 1; index < assignments.size(); index++) {
            KeyAssignment first = assignments.get(index - 1);
            KeyAssignment second = assignments.get(index);
            boolean areSettled = first.isSettled() && second.isSettled();
            if (areSettled && first.owner().equals(second.owner()) && context.canKeepKeys(first.owner())) {
                draft.merge(first, second);
                return true;
            }
        }
        return false;
    }
}
