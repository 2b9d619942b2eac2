package org.daisyscale.core.internal.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.EventTime;

/** Holds the known servers by id and by service. Not thread-safe; confined to the core thread. */
final class ServerRegistry {
    private final Map<String, ServerView> viewById = new HashMap<>();
    private final Map<String, List<ServerView>> viewsByService = new HashMap<>();
    private final Map<String, ColdStartLimiter> removedLimiterById = new HashMap<>();
    private final Map<String, ServiceLevel> levelByService = new HashMap<>();
    private final Map<String, EventTime> evacuatedAtByDataCentre = new HashMap<>();
    private boolean areEvacuationsKnown;

    /** Replaces all known servers by {@code servers}. */
    void replaceAll(List<BackendServer> servers, long nowNanos) {
        Set<String> listed = new HashSet<>();
        for (BackendServer server : servers) {
            listed.add(server.id());
            put(server, EventTime.UNKNOWN, nowNanos);
        }
        List.copyOf(viewById.keySet()).stream()
                .filter(id -> !listed.contains(id))
                .forEach(id -> remove(id, nowNanos));
    }

    /**
     * Adds or updates {@code server}, which changed at {@code changedAt}; a new incarnation, endpoint or slot count
     * replaces the view of the old one.
     */
    void put(BackendServer server, EventTime changedAt, long nowNanos) {
        ServerView known = viewById.get(server.id());
        if (known != null && known.server().isSameIncarnation(server) && isSameEndpoint(known.server(), server)) {
            known.update(server, changedAt, nowNanos);
            return;
        }
        remove(server.id(), nowNanos);
        ColdStartLimiter limiter =
                Optional.ofNullable(removedLimiterById.remove(server.id())).orElseGet(ColdStartLimiter::new);
        ServerView view = new ServerView(server, limiter, level(server.service()), nowNanos);
        viewById.put(server.id(), view);
        viewsByService
                .computeIfAbsent(server.service(), name -> new ArrayList<>())
                .add(view);
    }

    private static boolean isSameEndpoint(BackendServer one, BackendServer other) {
        return one.service().equals(other.service())
                && one.host().equals(other.host())
                && one.port() == other.port()
                && one.slots() == other.slots();
    }

    /** Removes the server. If it registers again soon, its recent requests still count towards its cold-start limit. */
    void remove(String serverId, long nowNanos) {
        removedLimiterById.values().removeIf(limiter -> !limiter.hasRecentRequests(nowNanos));
        ServerView view = viewById.remove(serverId);
        if (view != null) {
            viewsByService.get(view.server().service()).remove(view);
            removedLimiterById.put(serverId, view.coldStartLimiter());
        }
    }

    /** Returns the load that other routers cause at the servers of {@code service}. */
    ServiceLevel level(String service) {
        return levelByService.computeIfAbsent(service, name -> new ServiceLevel());
    }

    Optional<ServerView> find(String serverId) {
        return Optional.ofNullable(viewById.get(serverId));
    }

    List<ServerView> ofService(String service) {
        return viewsByService.getOrDefault(service, List.of());
    }

    /** Replaces the evacuated data centres; servers of a data centre that is no longer evacuated become cold. */
    void replaceEvacuations(
            Map<String, EventTime> newEvacuatedAtByDataCentre, ColdStartDuration coldDuration, long nowNanos) {
        areEvacuationsKnown = true;
        for (String restored : List.copyOf(evacuatedAtByDataCentre.keySet())) {
            if (!newEvacuatedAtByDataCentre.containsKey(restored)) {
                evacuatedAtByDataCentre.remove(restored);
                viewById.values().stream()
                        .filter(view -> view.server().dataCentre().equals(restored))
                        .forEach(view ->
                                view.coldStartLimiter().markColdUntil(nowNanos + coldDuration.nanos(view.server())));
            }
        }
        newEvacuatedAtByDataCentre.forEach((dataCentre, evacuatedAt) ->
                evacuatedAtByDataCentre.merge(dataCentre, evacuatedAt, EventTime::earlier));
    }

    /** Returns whether it is known which data centres are evacuated. */
    boolean areEvacuationsKnown() {
        return areEvacuationsKnown;
    }

    boolean isEvacuated(ServerView view) {
        return evacuatedAtByDataCentre.containsKey(view.server().dataCentre());
    }

    /** Returns whether the server's data centre may have been evacuated for {@code millis} or longer. */
    boolean isEvacuatedFor(ServerView view, long millis, long nowNanos) {
        EventTime evacuatedAt = evacuatedAtByDataCentre.get(view.server().dataCentre());
        return evacuatedAt != null && evacuatedAt.mayBePast(millis, nowNanos);
    }

    /** Records that an unknown time has passed that the clock did not count. */
    void handleSuspension() {
        evacuatedAtByDataCentre.replaceAll((dataCentre, evacuatedAt) -> EventTime.UNKNOWN);
        viewById.values().forEach(ServerView::handleSuspension);
    }

    /** Determines how long a server is cold after the evacuation of its data centre ends. */
    @FunctionalInterface
    interface ColdStartDuration {

        /** Returns the duration of {@code server}'s cold period, in nanoseconds. */
        long nanos(BackendServer server);
    }
}
