package org.daisyscale.core.internal.control;

import org.daisyscale.core.Moment;
import org.daisyscale.core.ownership.OwnershipMap;

/**
 * Plans one aspect of the next ownership map. The controller runs its steps in order, each on the result of the step
 * before.
 */
public interface PlanStep {

    /**
     * Returns the map after this step, or {@code map} itself if there is nothing to change. New epochs are {@code
     * map.version() + 1}, the version that the planned map will have.
     */
    OwnershipMap plan(OwnershipMap map, Moment now);
}
