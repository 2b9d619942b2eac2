package org.daisyscale.core;

/**
 * The settings of request dispatch. Immutable.
 *
 * @param policy the policy that selects a backend server
 * @param queueLimit the maximum number of requests that wait in one dispatch range
 * @param maxSlotsPerServer the maximum number of orders in flight at one server, even if the VM list allows more
 */
public record DispatchSettings(DispatchPolicyName policy, int queueLimit, int maxSlotsPerServer) {

    /** Returns the default settings: late binding with a bounded queue. */
    public static DispatchSettings defaults() {
        return new DispatchSettings(DispatchPolicyName.LATE_BINDING, 10_000, 64);
    }
}
