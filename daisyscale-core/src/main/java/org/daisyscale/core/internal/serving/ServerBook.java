package org.daisyscale.core.internal.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.daisyscale.core.serving.BackendServer;

/** The servers that this router knows, by id and by service. Owned by the thread that owns the core. */
final class ServerBook {
    private final Map<String, ServerView> viewById = new HashMap<>();
    private final Map<String, List<ServerView>> viewsByService = new HashMap<>();
    private final Map<String, ColdGate> goneGateById = new HashMap<>();
    private final Map<String, Long> evacuatedSinceNanos = new HashMap<>();

    /** Takes {@code servers} for all that there are. */
    void replaceAll(List<BackendServer> servers, long nowNanos) {
        Set<String> listed = new HashSet<>();
        for (BackendServer server : servers) {
            listed.add(server.id());
            put(server, nowNanos);
        }
        List.copyOf(viewById.keySet()).stream()
                .filter(id -> !listed.contains(id))
                .forEach(id -> remove(id, nowNanos));
    }

    /** Adds or changes {@code server}; another incarnation replaces the one before. */
    void put(BackendServer server, long nowNanos) {
        ServerView known = viewById.get(server.id());
        if (known != null && known.server().isSameIncarnation(server) && isSamePlace(known.server(), server)) {
            known.update(server, nowNanos);
            return;
        }
        remove(server.id(), nowNanos);
        ColdGate gate = Optional.ofNullable(goneGateById.remove(server.id())).orElseGet(ColdGate::new);
        ServerView view = new ServerView(server, gate, nowNanos);
        viewById.put(server.id(), view);
        viewsByService
                .computeIfAbsent(server.service(), name -> new ArrayList<>())
                .add(view);
    }

    private static boolean isSamePlace(BackendServer one, BackendServer other) {
        return one.service().equals(other.service())
                && one.host().equals(other.host())
                && one.port() == other.port()
                && one.slots() == other.slots();
    }

    /** Forgets the server; the requests that were just sent there count on if it comes back. */
    void remove(String serverId, long nowNanos) {
        goneGateById.values().removeIf(gate -> !gate.isRecent(nowNanos));
        ServerView view = viewById.remove(serverId);
        if (view != null) {
            viewsByService.get(view.server().service()).remove(view);
            goneGateById.put(serverId, view.coldGate());
        }
    }

    Optional<ServerView> find(String serverId) {
        return Optional.ofNullable(viewById.get(serverId));
    }

    List<ServerView> ofService(String service) {
        return viewsByService.getOrDefault(service, List.of());
    }

    /** Takes {@code dataCentres} for all that must get no requests; the servers of one that is back are cold. */
    void evacuate(Set<String> dataCentres, ColdTime coldTime, long nowNanos) {
        for (String back : List.copyOf(evacuatedSinceNanos.keySet())) {
            if (!dataCentres.contains(back)) {
                evacuatedSinceNanos.remove(back);
                viewById.values().stream()
                        .filter(view -> view.server().dataCentre().equals(back))
                        .forEach(view -> view.coldGate().coldUntil(nowNanos + coldTime.nanos(view.server())));
            }
        }
        dataCentres.forEach(dataCentre -> evacuatedSinceNanos.putIfAbsent(dataCentre, nowNanos));
    }

    boolean isEvacuated(ServerView view) {
        return evacuatedSinceNanos.containsKey(view.server().dataCentre());
    }

    /** Whether the server's data centre has been evacuated for {@code millis} or longer. */
    boolean isEvacuatedFor(ServerView view, long millis, long nowNanos) {
        Long since = evacuatedSinceNanos.get(view.server().dataCentre());
        return since != null && nowNanos - since >= millis * 1_000_000L;
    }

    /** How long a server is cold after its data centre came back. */
    @FunctionalInterface
    interface ColdTime {

        /** The time in nanoseconds. */
        long nanos(BackendServer server);
    }
}
