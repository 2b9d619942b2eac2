package org.daisyscale.core.serving;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A change to a newer version of the configuration: from any of several known versions, or from anything if it holds
 * the whole table. The change includes every route that any step between those versions touched, so that it leads to
 * the same table, with the routes in the same order, from each of them. Immutable.
 *
 * @param fromVersions the versions that the change applies to; empty for a whole table
 * @param version the newer version
 * @param changedRoutes the added and changed routes, as they are in the newer version and in their order
 * @param positions the place of each changed route among all routes of the newer version
 * @param removedRoutes the names of the routes that are not in the newer version
 * @param services the rules of all services in the newer version, by name
 * @param limits the limits in the newer version
 * @param digest the digest of the newer version's routes, rules, limits and organisations
 * @param organisations the change of the organisations
 */
public record RoutingTableChange(
        Set<Long> fromVersions,
        long version,
        List<Route> changedRoutes,
        List<Integer> positions,
        Set<String> removedRoutes,
        Map<String, ServiceRules> services,
        RequestLimits limits,
        long digest,
        OrganisationTable.Change organisations) {

    public RoutingTableChange {
        fromVersions = Set.copyOf(fromVersions);
        changedRoutes = List.copyOf(changedRoutes);
        positions = List.copyOf(positions);
        removedRoutes = Set.copyOf(removedRoutes);
        services = Map.copyOf(services);
    }

    /** Creates a change to a version without organisations. */
    public RoutingTableChange(
            Set<Long> fromVersions,
            long version,
            List<Route> changedRoutes,
            List<Integer> positions,
            Set<String> removedRoutes,
            Map<String, ServiceRules> services,
            RequestLimits limits,
            long digest) {
        this(
                fromVersions,
                version,
                changedRoutes,
                positions,
                removedRoutes,
                services,
                limits,
                digest,
                OrganisationTable.Change.NONE);
    }

    /** Returns a change that holds the whole {@code table} and applies to any other. */
    public static RoutingTableChange whole(RoutingTable table) {
        List<Integer> positions = new ArrayList<>();
        for (int index = 0; index < table.routes().size(); index++) {
            positions.add(index);
        }
        return new RoutingTableChange(
                Set.of(),
                table.version(),
                table.routes(),
                positions,
                Set.of(),
                table.services(),
                table.limits(),
                table.digest(),
                table.organisations().changeOf(table.organisations().byName().keySet()));
    }

    /** Returns whether the change holds the whole newer version. */
    public boolean isWhole() {
        return fromVersions.isEmpty();
    }

    /** Returns whether the change leads from {@code table} to the complete newer version. */
    public boolean appliesTo(RoutingTable table) {
        return (isWhole() || fromVersions.contains(table.version()))
                && leadsToDigest(table.routes(), table.organisations());
    }

    /** Returns whether a whole table is complete, so that it can be used without an older one. */
    public boolean isCompleteTable() {
        return isWhole() && leadsToDigest(List.of(), OrganisationTable.NONE);
    }

    private boolean leadsToDigest(List<Route> olderRoutes, OrganisationTable olderOrganisations) {
        return arePositionsValid(olderRoutes)
                && RoutingTableDigest.of(
                                routesAfter(olderRoutes), services, limits, organisationsAfter(olderOrganisations))
                        == digest;
    }

    private boolean arePositionsValid(List<Route> olderRoutes) {
        if (positions.size() != changedRoutes.size()) {
            return false;
        }
        int size = keptRoutes(olderRoutes).size();
        int previous = -1;
        for (int position : positions) {
            if (position <= previous || position > size) {
                return false;
            }
            previous = position;
            size++;
        }
        return true;
    }

    /** Returns the newer version of {@code table}, to which this change must apply. */
    public RoutingTable applyTo(RoutingTable table) {
        return new RoutingTable(
                version, routesAfter(table.routes()), services, limits, organisationsAfter(table.organisations()));
    }

    /** Returns the table of a change that {@link #isCompleteTable}. */
    public RoutingTable toTable() {
        return new RoutingTable(version, changedRoutes, services, limits, organisationsAfter(OrganisationTable.NONE));
    }

    private OrganisationTable organisationsAfter(OrganisationTable older) {
        return organisations.applyTo(isWhole() ? OrganisationTable.NONE : older);
    }

    private List<Route> routesAfter(List<Route> olderRoutes) {
        List<Route> routes = keptRoutes(olderRoutes);
        for (int index = 0; index < changedRoutes.size(); index++) {
            routes.add(positions.get(index), changedRoutes.get(index));
        }
        return routes;
    }

    /** Returns the older routes that the newer version has unchanged. */
    private List<Route> keptRoutes(List<Route> olderRoutes) {
        if (isWhole()) {
            return new ArrayList<>();
        }
        Set<String> replaced = new HashSet<>(removedRoutes);
        changedRoutes.forEach(route -> replaced.add(route.name()));
        List<Route> kept = new ArrayList<>(olderRoutes);
        kept.removeIf(route -> replaced.contains(route.name()));
        return kept;
    }
}
