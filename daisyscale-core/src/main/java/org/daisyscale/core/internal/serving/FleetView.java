package org.daisyscale.core.internal.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.core.serving.RoutingTable;
import org.daisyscale.core.serving.ServiceRules;
import org.daisyscale.core.serving.ServingSettings;

/** The newest of each that this router knows of the fleet. Owned by the thread that owns the core. */
final class FleetView {
    private final ServingSettings settings;
    private final ServerBook servers = new ServerBook();
    private final Map<String, KeyMap> keyMapByService = new HashMap<>();
    private final RouterCensus routers;
    private RoutingTable table;
    private RouteIndex routes;

    FleetView(ServingSettings settings) {
        this.settings = settings;
        this.routers = new RouterCensus(settings.routerId());
    }

    ServingSettings settings() {
        return settings;
    }

    ServerBook servers() {
        return servers;
    }

    /** Takes {@code newer} unless a newer one is in force; whether it did. */
    boolean replaceTable(RoutingTable newer) {
        if (table != null && newer.version() <= table.version()) {
            return false;
        }
        table = newer;
        routes = new RouteIndex(newer);
        return true;
    }

    boolean hasTable() {
        return table != null;
    }

    RouteIndex routes() {
        return routes;
    }

    Optional<ServiceRules> rules(String service) {
        return Optional.ofNullable(table).map(current -> current.services().get(service));
    }

    /** Takes {@code newer} unless a newer one is in force; whether it did. */
    boolean replaceKeyMap(KeyMap newer) {
        KeyMap known = keyMapByService.get(newer.service());
        if (known != null && !newer.isNewerThan(known)) {
            return false;
        }
        keyMapByService.put(newer.service(), newer);
        return true;
    }

    Optional<KeyMap> keyMap(String service) {
        return Optional.ofNullable(keyMapByService.get(service));
    }

    RouterCensus routers() {
        return routers;
    }

    int routerCount(long nowNanos) {
        return routers.routerIds(nowNanos).size();
    }

    /** This router's part of what all routers share; none while they may not count each other. */
    double ownPart(long nowNanos) {
        return routers.isComplete(nowNanos) ? 1.0 / routerCount(nowNanos) : 0;
    }

    /** The requests that this router may send to a cold server in a window. */
    int coldShare(ServerView view, long nowNanos) {
        if (!routers.isComplete(nowNanos)) {
            return 0;
        }
        Set<String> routerIds = routers.routerIds(nowNanos);
        return rules(view.server().service())
                .map(rules -> ColdGate.share(view.server().id(), rules, settings, routerIds))
                .orElse(0);
    }
}
