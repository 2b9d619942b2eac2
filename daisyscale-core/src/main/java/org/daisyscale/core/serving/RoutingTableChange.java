package org.daisyscale.core.serving;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What brings one of several known versions of the configuration to a newer one. It names every route that any step
 * between them touched, so that it gives the same table from each of them. Immutable.
 *
 * @param fromVersions the versions that it applies to; the newer version itself is one of them
 * @param version the version that it leads to
 * @param changedRoutes the routes that are new or changed, as they are in the newer version
 * @param removedRoutes the names of the routes that the newer version lacks
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

    /** Whether it tells the holder of {@code table} the whole newer version. */
    public boolean appliesTo(RoutingTable table) {
        return fromVersions.contains(table.version());
    }

    /** The newer version, made from {@code table}, to which it must apply. */
    public RoutingTable applyTo(RoutingTable table) {
        Set<String> replaced = new HashSet<>(removedRoutes);
        changedRoutes.forEach(route -> replaced.add(route.name()));
        List<Route> routes = new ArrayList<>(table.routes());
        routes.removeIf(route -> replaced.contains(route.name()));
        routes.addAll(changedRoutes);
        return new RoutingTable(version, routes, services, limits);
    }
}
