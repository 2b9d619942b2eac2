package org.daisyscale.core.serving;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A change from any of several known versions of the configuration to a newer one. The change includes every route that
 * any step between those versions touched, so that it leads to the same table from each of them. Immutable.
 *
 * @param fromVersions the versions that the change applies to, including the newer version itself
 * @param version the newer version
 * @param changedRoutes the added and changed routes, as they are in the newer version
 * @param removedRoutes the names of the routes that are not in the newer version
 * @param services the rules of all services in the newer version, by name
 * @param limits the limits in the newer version
 */
public record RoutingTableChange(
        Set<Long> fromVersions,
        long version,
        List<Route> changedRoutes,
        Set<String> removedRoutes,
        Map<String, ServiceRules> services,
        RequestLimits limits) {

    public RoutingTableChange {
        fromVersions = Set.copyOf(fromVersions);
        changedRoutes = List.copyOf(changedRoutes);
        removedRoutes = Set.copyOf(removedRoutes);
        services = Map.copyOf(services);
    }

    /** Returns whether the change leads from {@code table} to the complete newer version. */
    public boolean appliesTo(RoutingTable table) {
        return fromVersions.contains(table.version());
    }

    /** Returns the newer version of {@code table}, to which this change must apply. */
    public RoutingTable applyTo(RoutingTable table) {
        Set<String> replaced = new HashSet<>(removedRoutes);
        changedRoutes.forEach(route -> replaced.add(route.name()));
        List<Route> routes = new ArrayList<>(table.routes());
        routes.removeIf(route -> replaced.contains(route.name()));
        routes.addAll(changedRoutes);
        return new RoutingTable(version, routes, services, limits);
    }
}
