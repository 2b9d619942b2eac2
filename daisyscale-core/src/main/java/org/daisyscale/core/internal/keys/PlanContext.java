package org.daisyscale.core.internal.keys;

import java.util.List;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.KeyAssignment.Owner;

/**
 * The inputs of a plan. The record is immutable; the trackers that it refers to are not.
 *
 * @param usable the servers that may own keys, cold ones included
 * @param warm the usable servers that may get more keys
 * @param load the load by key and the service times
 * @param registry all registered servers
 * @param owners when the owners' grants expire, and whether the owners answer
 * @param calls the state of the calls for each range
 * @param nowNanos the time, in nanoseconds of the monotonic clock
 */
record PlanContext(
        List<BackendServer> usable,
        List<BackendServer> warm,
        LoadTracker load,
        ServerRegistry registry,
        OwnerTracker owners,
        RangeCallCoordinator calls,
        long nowNanos) {

    /** Returns whether {@code owner} may own keys and is not lost. */
    boolean canKeepKeys(Owner owner) {
        return registry.mayOwn(owner) && !owners.isLost(owner, nowNanos);
    }
}
