package org.daisyscale.core.serving;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Digests of routing tables. Equal tables have the same digest on each router; the order of the routes counts.
 * Stateless.
 */
final class RoutingTableDigest {
    private static final long FACTOR = 0x9e3779b97f4a7c15L;

    private RoutingTableDigest() {}

    static long of(List<Route> routes, Map<String, ServiceRules> services, RequestLimits limits) {
        long digest = of(limits);
        for (Route route : routes) {
            digest = digest * FACTOR + of(route);
        }
        for (ServiceRules rules : services.values()) {
            digest += FACTOR * of(rules);
        }
        return digest;
    }

    private static int of(Route route) {
        int services = 1;
        for (Route.WeightedService service : route.services()) {
            services = Objects.hash(services, service.service(), service.weight());
        }
        return Objects.hash(
                route.name(),
                route.host(),
                route.pathPrefix(),
                route.isIdempotent(),
                route.timeoutMillis(),
                route.targetLatencyMillis(),
                route.priority(),
                route.maxBackends(),
                services);
    }

    private static int of(ServiceRules rules) {
        return Objects.hash(
                rules.name(),
                rules.healthPath(),
                rules.maxConnections(),
                rules.coldStartMillis(),
                rules.coldRequestsPerSecond(),
                rules.isSharded(),
                rules.warmupMillis());
    }

    private static int of(RequestLimits limits) {
        return Objects.hash(
                limits.maxHeaderBytes(),
                limits.maxBodyBytes(),
                limits.headerTimeoutMillis(),
                limits.idleTimeoutMillis());
    }
}
