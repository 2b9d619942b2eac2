package org.daisyscale.core.serving;

import java.util.List;
import java.util.Map;

/**
 * One version of the operator's configuration. Immutable.
 *
 * @param version increases with each change
 * @param routes the routes from requests to services
 * @param services the rules of each service, by name
 * @param limits the limits of a request
 * @param organisations the organisations and their API keys
 */
public record RoutingTable(
        long version,
        List<Route> routes,
        Map<String, ServiceRules> services,
        RequestLimits limits,
        OrganisationTable organisations) {

    public RoutingTable {
        routes = List.copyOf(routes);
        services = Map.copyOf(services);
    }

    /** Creates a configuration without organisations. */
    public RoutingTable(long version, List<Route> routes, Map<String, ServiceRules> services, RequestLimits limits) {
        this(version, routes, services, limits, OrganisationTable.NONE);
    }

    /**
     * Returns a digest of the routes in their order, the rules, the limits and the organisations; the same on each
     * router.
     */
    public long digest() {
        return RoutingTableDigest.of(routes, services, limits, organisations);
    }
}
