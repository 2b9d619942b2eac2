package org.daisyscale.core.internal.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.daisyscale.core.serving.Route;
import org.daisyscale.core.serving.RoutingTable;

/** Finds the route of a request by its host and the longest path prefix that matches. Immutable. */
final class RouteIndex {
    private final Map<String, List<Route>> routesByHost = new HashMap<>();

    RouteIndex(RoutingTable table) {
        for (Route route : table.routes()) {
            routesByHost
                    .computeIfAbsent(route.host(), host -> new ArrayList<>())
                    .add(route);
        }
        Comparator<Route> longestFirst = Comparator.comparingInt(
                        (Route route) -> route.pathPrefix().length())
                .reversed();
        routesByHost.values().forEach(routes -> routes.sort(longestFirst));
    }

    Optional<Route> find(String host, String path) {
        return routesByHost.getOrDefault(host, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }
}
