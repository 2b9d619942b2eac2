package org.daisyscale.core.internal.ownership;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;
import org.daisyscale.core.TimingSettings;
import org.daisyscale.core.internal.CoreComponent;
import org.daisyscale.core.internal.Outbox;
import org.daisyscale.core.internal.TimerQueue;
import org.daisyscale.core.internal.configuration.ConfigurationTracker;
import org.daisyscale.core.internal.control.ControllerLink;
import org.daisyscale.core.internal.membership.Roster;
import org.daisyscale.core.membership.VmRecord;
import org.daisyscale.core.ownership.Grant;
import org.daisyscale.core.ownership.GrantedSlice;
import org.daisyscale.core.ownership.SliceAssignment;
import org.daisyscale.core.peer.PeerMessage;

/**
 * Probes the backend servers that this router is responsible for and renews their grants from the newest map.
 * Invariant: a grant expires at a time on the server's own clock, at most one grant lifetime after the authority under
 * which it was issued. Not thread-safe; confined to the core thread.
 */
public final class GrantIssuer implements CoreComponent {
    private static final int PROMISE = 1;
    private static final int RENEWALS_PER_GRANT = 3;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final TimingSettings timing;
    private final Roster roster;
    private final OwnershipMapTracker maps;
    private final RenewalAuthority authority;
    private final ServerTable servers;
    private final DispatchDuties duties;
    private final ConfigurationTracker configuration;
    private final ControllerLink controllerLink;
    private final Map<String, SentGrant> lastGrantByServer = new TreeMap<>();

    /** Creates an instance without sent grants and schedules its probes. */
    public GrantIssuer(
            TimingSettings timing,
            Roster roster,
            OwnershipMapTracker maps,
            RenewalAuthority authority,
            ServerTable servers,
            DispatchDuties duties,
            ConfigurationTracker configuration,
            ControllerLink controllerLink,
            TimerQueue timers) {
        this.timing = timing;
        this.roster = roster;
        this.maps = maps;
        this.authority = authority;
        this.servers = servers;
        this.duties = duties;
        this.configuration = configuration;
        this.controllerLink = controllerLink;
        timers.scheduleRepeating(timing.probeIntervalMillis(), this::probeAll);
    }

    @Override
    public void handle(Event event, Moment now, Outbox out) {
        if (event instanceof Event.ProbeAnswered answered) {
            roster.server(answered.server()).ifPresent(server -> renewIfDue(server, now, out));
        } else if (event instanceof Event.GrantAnswered answered && answered.isAccepted()) {
            reportGivenUp(answered, out);
        } else if (mayChangeMap(event)) {
            renewChanged(now, out);
        }
    }

    private static boolean mayChangeMap(Event event) {
        return event instanceof Event.MapRead
                || event instanceof Event.MapWriteEnded
                || (event instanceof Event.PeerMessageReceived received
                        && received.message() instanceof PeerMessage.MapUpdate);
    }

    private void probeAll(Moment now, Outbox out) {
        for (VmRecord server : roster.servers()) {
            if (duties.isResponsibleFor(server, now)) {
                out.emit(new Action.ProbeServer(server.id(), server.host(), server.httpPort()));
            }
        }
    }

    private void renewChanged(Moment now, Outbox out) {
        for (VmRecord server : roster.servers()) {
            SentGrant sent = lastGrantByServer.get(server.id());
            boolean isChanged = sent == null || !sent.slices().equals(maps.settledSlicesOf(server.id()));
            if (isChanged && duties.isResponsibleFor(server, now)) {
                renew(server, now, out);
            }
        }
    }

    private void renewIfDue(VmRecord server, Moment now, Outbox out) {
        SentGrant sent = lastGrantByServer.get(server.id());
        long intervalNanos = timing.grantLifeMillis() * NANOS_PER_MILLI / RENEWALS_PER_GRANT;
        boolean isDue = sent == null
                || now.nanos() - sent.sentNanos() >= intervalNanos
                || sent.mapVersion() < maps.version()
                || isOtherIncarnation(server.id(), sent);
        if (isDue && duties.isResponsibleFor(server, now)) {
            renew(server, now, out);
        }
    }

    private boolean isOtherIncarnation(String server, SentGrant sent) {
        return servers.find(server)
                .map(state -> !state.status().incarnation().equals(sent.incarnation()))
                .orElse(false);
    }

    private void renew(VmRecord server, Moment now, Outbox out) {
        Optional<ServerState> state = servers.find(server.id()).filter(known -> known.status() != null);
        if (state.isEmpty() || !takesGrants(server) || !authority.holds(now) || isWithinRestartWait(state.get(), now)) {
            return;
        }
        List<SliceAssignment> slices = maps.settledSlicesOf(server.id());
        if (!slices.stream().allMatch(SliceAssignment::isSettled)) {
            out.reportInvariantBroken(
                    PROMISE,
                    "the grant for server %s contains an unsettled slice and was not sent".formatted(server.id()));
            return;
        }
        Grant grant = grant(server, state.get(), slices, now);
        lastGrantByServer.put(server.id(), new SentGrant(now.nanos(), grant.mapVersion(), grant.incarnation(), slices));
        out.emit(new Action.SendGrant(server.host(), server.httpPort(), grant, authority.endsNanos(now)));
    }

    /**
     * Returns whether the server's process may be so new that its previous incarnation may have given up slices which
     * this router's map still assigns to the server.
     */
    private boolean isWithinRestartWait(ServerState state, Moment now) {
        return state.status().grantedMapVersion() == 0
                && now.nanos() < state.firstSeenNanos() + timing.newIncarnationWaitMillis() * NANOS_PER_MILLI;
    }

    private boolean takesGrants(VmRecord server) {
        return configuration
                .policies()
                .service(roster.serviceOf(server))
                .map(service -> service.isExclusive() && service.checksOrders())
                .orElse(false);
    }

    private Grant grant(VmRecord server, ServerState state, List<SliceAssignment> slices, Moment now) {
        long endsNanos = now.nanosAfterMillis(timing.grantLifeMillis());
        List<GrantedSlice> granted = slices.stream()
                .map(slice -> new GrantedSlice(slice.startHash(), slice.endHash(), slice.epoch()))
                .toList();
        return new Grant(
                server.id(),
                state.status().incarnation(),
                maps.version(),
                state.clock().lowerBoundMillis(endsNanos, timing.driftPerMille()),
                granted);
    }

    private void reportGivenUp(Event.GrantAnswered answered, Outbox out) {
        boolean hasUnsettled = maps.hasUnsettled()
                && maps.map().slices().stream()
                        .anyMatch(slice -> slice.predecessor().equals(answered.server()));
        if (hasUnsettled) {
            controllerLink.send(new PeerMessage.GrantGivenUp(answered.server(), answered.mapVersion()), out);
        }
    }

    private record SentGrant(long sentNanos, long mapVersion, String incarnation, List<SliceAssignment> slices) {}
}
