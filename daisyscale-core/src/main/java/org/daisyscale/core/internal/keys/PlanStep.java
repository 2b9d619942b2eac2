package org.daisyscale.core.internal.keys;

/** Changes a key map for one reason, such as a lost owner. Implementations are stateless. */
interface PlanStep {

    /** Changes {@code draft} as {@code context} requires. */
    void plan(MapDraft draft, PlanContext context);
}
