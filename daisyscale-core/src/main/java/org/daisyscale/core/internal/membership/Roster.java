package org.daisyscale.core.internal.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;
import org.daisyscale.core.internal.CoreComponent;
import org.daisyscale.core.internal.Outbox;
import org.daisyscale.core.internal.configuration.ConfigurationTracker;
import org.daisyscale.core.internal.configuration.Policies;
import org.daisyscale.core.membership.VmRecord;
import org.daisyscale.core.membership.VmRole;
import org.daisyscale.core.peer.PeerMessage;

/**
 * Tracks the VMs of the platform's list, which may be stale, and which of them operators have taken out or drained.
 * Ids are never reused, so a router that is absent from a fresh list for the list's maximum lag counts as
 * deregistered. An empty list is ignored. Not thread-safe; confined to the core thread.
 */
public final class Roster implements CoreComponent {
    /**
     * How long an exclusive server that may not take new work still gets requests, so that its keys can move away
     * first.
     */
    private static final long LEAVE_GRACE_NANOS = 1_500_000_000L;

    private static final long MAX_LIST_LAG_NANOS = 5_000_000_000L;

    private final String routerId;
    private final ConfigurationTracker configuration;
    private final Map<String, VmRecord> routers = new TreeMap<>();
    private final Map<String, VmRecord> servers = new TreeMap<>();
    private final Map<String, Long> lastListedNanos = new TreeMap<>();
    private final Map<String, Long> ineligibleSinceNanos = new TreeMap<>();
    private Map<String, List<VmRecord>> serversByService = Map.of();
    private Policies indexedPolicies;
    private long firstReadNanos;
    private long lastReadNanos;
    private boolean hasRead;

    /** Creates an empty roster. */
    public Roster(String routerId, ConfigurationTracker configuration) {
        this.routerId = routerId;
        this.configuration = configuration;
    }

    @Override
    public void handle(Event event, Moment now, Outbox out) {
        if (event instanceof Event.VmListRead read && !read.vms().isEmpty()) {
            recordRead(now);
            replaceRouters(select(read.vms(), VmRole.ROUTER), now, out);
            servers.clear();
            servers.putAll(select(read.vms(), VmRole.BACKEND_SERVER));
            indexedPolicies = null;
        }
        if (mayChangeEligibility(event)) {
            recordIneligible(now);
        }
    }

    private static boolean mayChangeEligibility(Event event) {
        return event instanceof Event.VmListRead
                || event instanceof Event.ConfigurationRead
                || event instanceof Event.ConfigurationWriteEnded
                || (event instanceof Event.PeerMessageReceived received
                        && received.message() instanceof PeerMessage.ConfigurationUpdate);
    }

    private void recordIneligible(Moment now) {
        ineligibleSinceNanos.keySet().retainAll(servers.keySet());
        for (VmRecord server : servers.values()) {
            if (mayTakeWork(server)) {
                ineligibleSinceNanos.remove(server.id());
            } else {
                ineligibleSinceNanos.putIfAbsent(server.id(), now.nanos());
            }
        }
    }

    private void recordRead(Moment now) {
        if (!hasRead) {
            firstReadNanos = now.nanos();
            hasRead = true;
        }
        lastReadNanos = now.nanos();
    }

    private static Map<String, VmRecord> select(List<VmRecord> vms, VmRole role) {
        Map<String, VmRecord> selected = new LinkedHashMap<>();
        vms.stream().filter(vm -> vm.role() == role).forEach(vm -> selected.put(vm.id(), vm));
        return selected;
    }

    private void replaceRouters(Map<String, VmRecord> listed, Moment now, Outbox out) {
        for (VmRecord known : List.copyOf(routers.values())) {
            if (!listed.containsKey(known.id())) {
                removeRouter(known, out);
            }
        }
        for (VmRecord router : listed.values()) {
            lastListedNanos.put(router.id(), now.nanos());
            addRouter(router, out);
        }
    }

    private void removeRouter(VmRecord router, Outbox out) {
        routers.remove(router.id());
        out.emit(new Action.KnowPeer(router.id(), router.host(), 0));
    }

    private void addRouter(VmRecord router, Outbox out) {
        VmRecord before = routers.put(router.id(), router);
        boolean isChanged = before == null || before.peerPort() != router.peerPort();
        if (isChanged && !router.id().equals(routerId)) {
            out.emit(new Action.KnowPeer(router.id(), router.host(), router.peerPort()));
        }
    }

    /** Returns the ids of the listed routers except this one. */
    public Collection<String> peers() {
        List<String> peers = new ArrayList<>(routers.keySet());
        peers.remove(routerId);
        return peers;
    }

    /** Returns the router {@code id} if it is listed. */
    public Optional<VmRecord> router(String id) {
        return Optional.ofNullable(routers.get(id));
    }

    /**
     * Returns whether {@code router} has been absent from the list for its maximum lag. Always false for this router,
     * and while the last read of the list is stale.
     */
    public boolean isDeregistered(String router, Moment now) {
        if (!hasRead || routers.containsKey(router) || router.equals(routerId)) {
            return false;
        }
        boolean isListFresh = now.nanos() - lastReadNanos < MAX_LIST_LAG_NANOS;
        long absentSinceNanos = lastListedNanos.getOrDefault(router, firstReadNanos);
        return isListFresh && lastReadNanos - absentSinceNanos >= MAX_LIST_LAG_NANOS;
    }

    /** Returns all listed backend servers, ordered by id. */
    public Collection<VmRecord> servers() {
        return servers.values();
    }

    /** Returns the backend server {@code id} if it is listed. */
    public Optional<VmRecord> server(String id) {
        return Optional.ofNullable(servers.get(id));
    }

    /** Returns the listed backend servers of {@code service}, ordered by id. */
    public List<VmRecord> serversOf(String service) {
        if (indexedPolicies != configuration.policies()) {
            indexServers();
        }
        return serversByService.getOrDefault(service, List.of());
    }

    private void indexServers() {
        indexedPolicies = configuration.policies();
        serversByService = servers.values().stream().collect(Collectors.groupingBy(this::serviceOf));
    }

    /** Returns the service that the configuration document maps the server's job name to; empty if there is none. */
    public String serviceOf(VmRecord server) {
        return configuration.policies().serviceOfJob(server.jobName()).orElse("");
    }

    /**
     * Returns whether the server may take new work: it is not leaving, not drained by an operator and not in a data
     * centre taken out.
     */
    public boolean mayTakeWork(VmRecord server) {
        return !server.isLeaving() && !isOut(server) && !isDrainedByOperator(server);
    }

    /**
     * Returns whether the server may take work for keys that have not yet moved away: it may take new work, or has
     * been ineligible only for a short time.
     */
    public boolean mayStillTakeWork(VmRecord server, Moment now) {
        Long sinceNanos = ineligibleSinceNanos.get(server.id());
        return sinceNanos == null || now.nanos() - sinceNanos < LEAVE_GRACE_NANOS;
    }

    /** Returns whether operators have taken the server's data centre out. */
    public boolean isOut(VmRecord server) {
        return configuration.dataCentresOut().contains(server.dataCentre());
    }

    /** Returns whether operators drain the server. */
    public boolean isDrainedByOperator(VmRecord server) {
        return configuration.serversDrained().contains(server.id());
    }
}
