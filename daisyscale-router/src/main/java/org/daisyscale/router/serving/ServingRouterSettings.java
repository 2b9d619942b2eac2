package org.daisyscale.router.serving;

import org.daisyscale.core.keys.KeySettings;
import org.daisyscale.core.serving.ServingSettings;

/**
 * The settings of a router that assigns requests to backend servers itself. Immutable.
 *
 * @param serving the settings of the request path
 * @param keys the settings of the control of the keys
 * @param callers the address for callers
 * @param readiness the address at which the balancer of the platform checks whether this router is ready
 * @param metricsPort the port of the metrics page on the same host
 * @param peers the address for other routers
 * @param store the address of the platform's store
 * @param stop when a router that was asked to stop gives up what is still open
 * @param cores the processor share of the router's VM, in cores
 * @param memoryMb the memory of the router's VM, in megabytes; 0 if the settings don't state it
 */
public record ServingRouterSettings(
        ServingSettings serving,
        KeySettings keys,
        Address callers,
        Address readiness,
        int metricsPort,
        Address peers,
        Address store,
        StopSchedule stop,
        double cores,
        long memoryMb) {

    /** Returns the time between the request to stop and the end of the process, in milliseconds. */
    public long stopMillis() {
        return stop.endMillis();
    }

    /** An IP address and a port. Immutable. */
    public record Address(String host, int port) {}
}
