package org.daisyscale.core.internal.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.daisyscale.core.Moment;
import org.daisyscale.core.document.ServicePolicy;
import org.daisyscale.core.internal.ownership.RangeKey;
import org.daisyscale.core.membership.VmRecord;

/**
 * Holds the trackers of one dispatch range's backend servers. {@link #refresh} caches which servers are usable, so that
 * the cost per request stays small. Not thread-safe; confined to the core thread.
 */
final class ServerTrackers {
    private final RangeKey key;
    private final DispatchContext context;
    private final ServiceTimes times;
    private final Map<String, ServerTracker> trackers = new TreeMap<>();
    private Map<String, VmRecord> usableServers = Map.of();
    private List<ServerTracker> usableTrackers = List.of();

    ServerTrackers(RangeKey key, DispatchContext context, ServiceTimes times) {
        this.key = key;
        this.context = context;
        this.times = times;
    }

    /** Recomputes which servers are usable: listed, reachable, not draining and allowed to receive orders. */
    void refresh(Moment now) {
        Map<String, VmRecord> usable = new TreeMap<>();
        List<ServerTracker> usableTrackersNow = new ArrayList<>();
        for (VmRecord server : context.duties().serversOf(key)) {
            ServerTracker tracker = tracker(server);
            context.servers()
                    .find(server.id())
                    .filter(state -> state.status() != null)
                    .ifPresent(state -> tracker.recordIncarnation(state.status().incarnation()));
            if (isUsable(server, now)) {
                usable.put(server.id(), server);
                usableTrackersNow.add(tracker);
            }
        }
        usableServers = usable;
        usableTrackers = List.copyOf(usableTrackersNow);
    }

    private boolean isUsable(VmRecord server, Moment now) {
        boolean isDraining = context.servers()
                .find(server.id())
                .map(state -> state.status() != null && state.status().isDraining())
                .orElse(true);
        return !isDraining && mayReceiveOrders(server, now) && context.servers().isReachable(server.id(), now);
    }

    /**
     * Returns whether the server may receive orders. In an exclusive service the owner of a key may still serve it for
     * a short time, until the key has moved away.
     */
    private boolean mayReceiveOrders(VmRecord server, Moment now) {
        boolean isExclusive = context.configuration()
                .policies()
                .service(key.service())
                .map(ServicePolicy::isExclusive)
                .orElse(false);
        return isExclusive
                ? context.roster().mayStillTakeWork(server, now)
                : context.roster().mayTakeWork(server);
    }

    private ServerTracker tracker(VmRecord server) {
        int slotCount = Math.min(server.slotCount(), context.settings().maxSlotsPerServer());
        return trackers.computeIfAbsent(server.id(), id -> new ServerTracker(id, slotCount, times));
    }

    /** Returns the trackers of the usable servers as of the last refresh. */
    List<ServerTracker> usable() {
        return usableTrackers;
    }

    /** Returns the VM of {@code server} if the server is usable. */
    Optional<VmRecord> usableServer(String server) {
        return Optional.ofNullable(usableServers.get(server));
    }

    /** Returns the tracker of {@code server} if the server was ever listed, usable or not. */
    Optional<ServerTracker> find(String server) {
        return Optional.ofNullable(trackers.get(server));
    }
}
