package org.daisyscale.core.internal.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.daisyscale.core.serving.ConfigurationSource;
import org.daisyscale.core.serving.EventTime;
import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.core.serving.RoutingTable;
import org.daisyscale.core.serving.ServiceRules;
import org.daisyscale.core.serving.ServingSettings;

/**
 * Holds the newest known state of the fleet: servers, routers, routing table and key maps. Not thread-safe; confined to
 * the core thread.
 */
final class FleetView {
    private final ServingSettings settings;
    private final ServerRegistry servers = new ServerRegistry();
    private final ServerNotices notices = new ServerNotices(servers);
    private final Map<String, KeyMap> keyMapByService = new HashMap<>();
    private final Map<String, LateGrants> lateGrantsByService = new HashMap<>();
    private final RouterMembership routers;
    private final ConfigurationStatus configuration = new ConfigurationStatus();
    private boolean wasSuspended;
    private long suspendedNanos;
    private RoutingTable table;
    private RouteIndex routes;
    private OrganisationIndex organisations;

    FleetView(ServingSettings settings) {
        this.settings = settings;
        this.routers = new RouterMembership(settings.routerId());
    }

    ServingSettings settings() {
        return settings;
    }

    ServerRegistry servers() {
        return servers;
    }

    /** Returns what servers announced in their answers. */
    ServerNotices notices() {
        return notices;
    }

    /** Returns whether {@code view}'s server leaves, as the store or the server itself said. */
    boolean isLeaving(ServerView view) {
        return view.isLeaving() || notices.isLeaving(view.server());
    }

    /** Returns whether {@code view}'s server has been leaving for {@code millis} or longer. */
    boolean isLeavingFor(ServerView view, long millis, long nowNanos) {
        return view.isLeavingFor(millis, nowNanos) || notices.isLeavingFor(view.server(), millis, nowNanos);
    }

    /** Replaces the routing table unless {@code newer} is stale; returns whether it did. */
    boolean replaceTable(RoutingTable newer, ConfigurationSource source) {
        if (table != null && newer.version() <= table.version()) {
            return false;
        }
        table = newer;
        configuration.replace(newer, source);
        routes = new RouteIndex(newer);
        organisations = new OrganisationIndex(newer.organisations());
        newer.services().forEach((name, rules) -> servers.level(name).share(!rules.isSharded()));
        return true;
    }

    /** Returns which version of the configuration is in force, and how current it is. */
    ConfigurationStatus configuration() {
        return configuration;
    }

    /**
     * Returns what this router has to learn before it may send requests; empty when it knows enough. Without the
     * evacuations, a server of an evacuated data centre can't be told from others. Servers that are not known yet get
     * no requests.
     */
    Optional<String> missingKnowledge() {
        if (table == null) {
            return Optional.of("no configuration has been loaded yet");
        }
        return servers.areEvacuationsKnown()
                ? Optional.empty()
                : Optional.of("it is not known yet which data centres are evacuated");
    }

    /** Returns {@code time} unless an unknown time has passed since that the clock did not count. */
    EventTime withoutSuspension(EventTime time) {
        return wasSuspended ? time.unlessBefore(suspendedNanos) : time;
    }

    /** Records that an unknown time has passed that the clock did not count. */
    void handleSuspension(long nowNanos) {
        wasSuspended = true;
        suspendedNanos = nowNanos;
        servers.handleSuspension();
        notices.handleSuspension();
    }

    RouteIndex routes() {
        return routes;
    }

    OrganisationIndex organisations() {
        return organisations;
    }

    Optional<ServiceRules> rules(String service) {
        return Optional.ofNullable(table).map(current -> current.services().get(service));
    }

    /** Replaces the key map of {@code newer}'s service unless {@code newer} is stale; returns whether it did. */
    boolean replaceKeyMap(KeyMap newer, long nowNanos) {
        KeyMap known = keyMapByService.get(newer.service());
        if (known != null && !newer.isNewerThan(known)) {
            return false;
        }
        keyMapByService.put(newer.service(), newer);
        lateGrants(newer.service()).replace(newer, nowNanos);
        return true;
    }

    /** Returns which grants may still take effect late at the servers of {@code service}. */
    LateGrants lateGrants(String service) {
        return lateGrantsByService.computeIfAbsent(service, name -> new LateGrants());
    }

    Optional<KeyMap> keyMap(String service) {
        return Optional.ofNullable(keyMapByService.get(service));
    }

    /**
     * Returns whether the keys of {@code service} have owners; a service that is no longer configured while requests
     * for it are open keeps its key map.
     */
    boolean isSharded(String service) {
        return rules(service).map(ServiceRules::isSharded).orElseGet(() -> keyMapByService.containsKey(service));
    }

    RouterMembership routers() {
        return routers;
    }

    int routerCount(long nowNanos) {
        return routers.routerIds(nowNanos).size();
    }

    /** Returns this router's fraction of limits that all routers share; 0 while routers may not count each other. */
    double ownFraction(long nowNanos) {
        return routers.isComplete(nowNanos) ? 1.0 / routerCount(nowNanos) : 0;
    }

    /** Returns how many requests this router may send to {@code view}'s server per window while the server is cold. */
    int coldQuota(ServerView view, long nowNanos) {
        if (!routers.isComplete(nowNanos)) {
            return 0;
        }
        Set<String> routerIds = routers.routerIds(nowNanos);
        return rules(view.server().service())
                .map(rules -> ColdStartLimiter.quota(view.server().id(), rules, settings, routerIds))
                .orElse(0);
    }
}
