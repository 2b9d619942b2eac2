package org.daisyscale.core.status;

/**
 * A router's view of a backend server. Immutable.
 *
 * @param server the server's id
 * @param service the service
 * @param dataCentre the data centre
 * @param isReachable whether the server answered a probe sent within the silence limit
 * @param isDraining whether the server drains, as reported by the server, an operator or the platform
 * @param isOut whether the server's data centre is taken out of service
 * @param slotLimit the maximum number of requests that the server may run at once, as listed by the platform
 * @param runningCount the number of orders in flight that this router dispatched; 0 if another router dispatches
 */
public record ServerSummary(
        String server,
        String service,
        String dataCentre,
        boolean isReachable,
        boolean isDraining,
        boolean isOut,
        int slotLimit,
        int runningCount) {}
