package org.daisyscale.core.internal.keys;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.KeyAssignment.Owner;
import org.daisyscale.core.serving.RoutingTable;
import org.daisyscale.core.serving.ServiceRules;
import org.daisyscale.core.serving.ServingEvent;

/** The registered servers, for the control of keys. Owned by the thread that owns the core. */
final class ServerRoster {
    /** A server counts as cold a little longer than it says, in milliseconds: its word was on its way. */
    private static final long COLD_MARGIN_MILLIS = 200;

    private final Map<String, BackendServer> serverById = new HashMap<>();
    private final Map<String, Long> coldUntilNanosById = new HashMap<>();
    private Set<String> evacuated = Set.of();
    private RoutingTable table;

    void learn(ServingEvent change, long nowNanos) {
        if (change instanceof ServingEvent.ServersListed listed) {
            Set<String> ids = new HashSet<>();
            listed.servers().forEach(server -> ids.add(server.id()));
            serverById.keySet().retainAll(ids);
            listed.servers().forEach(server -> put(server, nowNanos));
        } else if (change instanceof ServingEvent.ServerChanged changed) {
            put(changed.server(), nowNanos);
        } else if (change instanceof ServingEvent.ServerRemoved removed) {
            serverById.remove(removed.serverId());
        } else if (change instanceof ServingEvent.EvacuationsChanged changed) {
            evacuate(changed.dataCentres(), nowNanos);
        } else if (change instanceof ServingEvent.TableChanged changed
                && (table == null || changed.table().version() > table.version())) {
            table = changed.table();
        }
    }

    private void put(BackendServer server, long nowNanos) {
        serverById.put(server.id(), server);
        if (server.coldLeftMillis() > 0) {
            coolDown(server.id(), server.coldLeftMillis(), nowNanos);
        }
    }

    private void coolDown(String serverId, long millis, long nowNanos) {
        coldUntilNanosById.put(serverId, nowNanos + (millis + COLD_MARGIN_MILLIS) * 1_000_000L);
    }

    private void evacuate(Set<String> dataCentres, long nowNanos) {
        serverById.values().stream()
                .filter(server -> evacuated.contains(server.dataCentre()) && !dataCentres.contains(server.dataCentre()))
                .forEach(server -> rules(server.service())
                        .ifPresent(rules -> coolDown(server.id(), rules.coldStartMillis(), nowNanos)));
        evacuated = dataCentres;
    }

    /** The sharded services of the configuration. */
    List<String> shardedServices() {
        if (table == null) {
            return List.of();
        }
        return table.services().values().stream()
                .filter(ServiceRules::isSharded)
                .map(ServiceRules::name)
                .sorted()
                .toList();
    }

    private Optional<ServiceRules> rules(String service) {
        return Optional.ofNullable(table).map(current -> current.services().get(service));
    }

    /** The servers of {@code service} that may own keys, in the order of their ids. */
    List<BackendServer> usable(String service) {
        return serverById.values().stream()
                .filter(server -> server.service().equals(service) && isUsable(server))
                .sorted((one, other) -> one.id().compareTo(other.id()))
                .toList();
    }

    private boolean isUsable(BackendServer server) {
        return !server.isDraining() && !evacuated.contains(server.dataCentre());
    }

    boolean isCold(String serverId, long nowNanos) {
        Long until = coldUntilNanosById.get(serverId);
        return until != null && nowNanos - until < 0;
    }

    /** Whether {@code owner} is a registered incarnation that may own keys. */
    boolean mayOwn(Owner owner) {
        BackendServer server = serverById.get(owner.serverId());
        return server != null && owner.isIncarnation(server) && isUsable(server);
    }

    /**
     * Whether another incarnation took the place of {@code owner} elsewhere: then the owner is gone for certain. One at
     * the same address may have taken grants that were meant for the owner, and has to release them.
     */
    boolean isReplaced(Owner owner) {
        BackendServer server = serverById.get(owner.serverId());
        return server != null
                && server.bornEpochMillis() > owner.bornEpochMillis()
                && !(server.host().equals(owner.host()) && server.port() == owner.port());
    }
}
