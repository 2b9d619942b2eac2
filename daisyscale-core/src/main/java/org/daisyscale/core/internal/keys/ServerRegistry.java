package org.daisyscale.core.internal.keys;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.FleetNews;
import org.daisyscale.core.serving.KeyAssignment.Owner;
import org.daisyscale.core.serving.RoutingTable;
import org.daisyscale.core.serving.ServiceRules;
import org.daisyscale.core.serving.ServingEvent;

/** Records the registered servers for the control of keys. Not thread-safe; confined to the core thread. */
final class ServerRegistry {
    /** Added to the cold time that a server reports, in milliseconds, since the report was delayed on its way. */
    private static final long COLD_MARGIN_MILLIS = 200;

    private static final int MAX_LEAVING = 10_000;

    private final Map<String, BackendServer> serverById = new HashMap<>();
    private final Map<String, Long> coldUntilNanosById = new HashMap<>();
    /** The newest incarnation of each server that announced in an answer that it leaves. */
    private final Map<String, Long> bornByLeavingId = new LinkedHashMap<>();

    private Set<String> evacuatedDataCentres = Set.of();
    private final Map<String, Long> learnedNanosByEvacuated = new HashMap<>();
    /** Until then, any data centre may be evacuated. */
    private boolean areEvacuationsKnown;

    private RoutingTable table;

    /** Updates the registry with a change of the fleet; ignores other events and older routing tables. */
    void apply(ServingEvent change, long nowNanos) {
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
        } else if (change instanceof ServingEvent.NewsReceived received) {
            handle(received.news(), nowNanos);
        } else if (change instanceof ServingEvent.TableChanged changed
                && (table == null || changed.table().version() > table.version())) {
            table = changed.table();
        }
    }

    private void handle(FleetNews news, long nowNanos) {
        if (news instanceof PeerMessage.ServerTurnedCold cold) {
            markCold(cold.serverId(), cold.coldLeftMillis(), nowNanos);
        } else if (news instanceof PeerMessage.ServerLeaving leaving) {
            bornByLeavingId.merge(leaving.serverId(), leaving.bornEpochMillis(), Math::max);
            if (bornByLeavingId.size() > MAX_LEAVING) {
                bornByLeavingId.remove(bornByLeavingId.keySet().iterator().next());
            }
        }
    }

    private void put(BackendServer server, long nowNanos) {
        serverById.put(server.id(), server);
        if (server.coldLeftMillis() > 0) {
            markCold(server.id(), server.coldLeftMillis(), nowNanos);
        }
    }

    private void markCold(String serverId, long coldMillis, long nowNanos) {
        coldUntilNanosById.put(serverId, nowNanos + (coldMillis + COLD_MARGIN_MILLIS) * 1_000_000L);
    }

    private void evacuate(Set<String> dataCentres, long nowNanos) {
        serverById.values().stream()
                .filter(server -> evacuatedDataCentres.contains(server.dataCentre())
                        && !dataCentres.contains(server.dataCentre()))
                .forEach(server -> rules(server.service())
                        .ifPresent(rules -> markCold(server.id(), rules.coldStartMillis(), nowNanos)));
        evacuatedDataCentres = dataCentres;
        areEvacuationsKnown = true;
        learnedNanosByEvacuated.keySet().retainAll(dataCentres);
        dataCentres.forEach(dataCentre -> learnedNanosByEvacuated.putIfAbsent(dataCentre, nowNanos));
    }

    Set<String> evacuatedDataCentres() {
        return evacuatedDataCentres;
    }

    /** Returns when this process learned that {@code dataCentre} is evacuated. Only for metrics: it began earlier. */
    long evacuationLearnedNanos(String dataCentre) {
        return learnedNanosByEvacuated.get(dataCentre);
    }

    /** Returns the data centre of {@code owner}; empty if it isn't registered. */
    Optional<String> dataCentre(Owner owner) {
        return Optional.ofNullable(serverById.get(owner.serverId()))
                .filter(owner::isIncarnation)
                .map(BackendServer::dataCentre);
    }

    /** Returns whether it is known which data centres are evacuated; until then, no server may get more keys. */
    boolean areEvacuationsKnown() {
        return areEvacuationsKnown;
    }

    /** Returns the names of the sharded services of the configuration, sorted. */
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

    /** Returns the path of the health check of {@code service}; empty for none. */
    String healthPath(String service) {
        return rules(service).map(ServiceRules::healthPath).orElse("");
    }

    private Optional<ServiceRules> rules(String service) {
        return Optional.ofNullable(table).map(current -> current.services().get(service));
    }

    /** Returns the servers of {@code service} that may own keys, sorted by id. */
    List<BackendServer> usable(String service) {
        return serverById.values().stream()
                .filter(server -> server.service().equals(service) && isUsable(server))
                .sorted((one, other) -> one.id().compareTo(other.id()))
                .toList();
    }

    private boolean isUsable(BackendServer server) {
        Long leavingBornMillis = bornByLeavingId.get(server.id());
        boolean isLeaving =
                server.isDraining() || (leavingBornMillis != null && leavingBornMillis >= server.bornEpochMillis());
        return !isLeaving && !evacuatedDataCentres.contains(server.dataCentre());
    }

    boolean isCold(String serverId, long nowNanos) {
        Long untilNanos = coldUntilNanosById.get(serverId);
        return untilNanos != null && nowNanos - untilNanos < 0;
    }

    /** Returns whether {@code owner} is a registered incarnation that may own keys. */
    boolean mayOwn(Owner owner) {
        BackendServer server = serverById.get(owner.serverId());
        return server != null && owner.isIncarnation(server) && isUsable(server);
    }

    /**
     * Returns whether a newer incarnation replaced {@code owner} at another address, so that the owner has certainly
     * ended. An incarnation at the same address may have accepted grants that were meant for the owner, and has to
     * release them.
     */
    boolean isReplaced(Owner owner) {
        BackendServer server = serverById.get(owner.serverId());
        return server != null
                && server.bornEpochMillis() > owner.bornEpochMillis()
                && !(server.host().equals(owner.host()) && server.port() == owner.port());
    }
}
