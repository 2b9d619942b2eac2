package org.daisyscale.core.internal.status;

import java.util.List;
import java.util.Optional;
import org.daisyscale.core.Action;
import org.daisyscale.core.CoreSettings;
import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;
import org.daisyscale.core.internal.CoreComponent;
import org.daisyscale.core.internal.Outbox;
import org.daisyscale.core.internal.configuration.ConfigurationTracker;
import org.daisyscale.core.internal.control.FleetReports;
import org.daisyscale.core.internal.control.Leadership;
import org.daisyscale.core.internal.control.ReportedServer;
import org.daisyscale.core.internal.dispatch.Dispatcher;
import org.daisyscale.core.internal.entry.EntryRouter;
import org.daisyscale.core.internal.entry.Readiness;
import org.daisyscale.core.internal.membership.Roster;
import org.daisyscale.core.internal.ownership.OwnershipMapTracker;
import org.daisyscale.core.internal.ownership.PeerEvidence;
import org.daisyscale.core.internal.ownership.Witness;
import org.daisyscale.core.membership.VmRecord;
import org.daisyscale.core.status.PeerStatus;
import org.daisyscale.core.status.RouterStatus;
import org.daisyscale.core.status.ServerSummary;

/** Answers operators' status requests. Not thread-safe; confined to the core thread. */
public final class StatusReporter implements CoreComponent {
    private final CoreSettings settings;
    private final Sources sources;
    private boolean isPlatformReachable;

    /** Creates a reporter that reads the state of {@code sources}. */
    public StatusReporter(CoreSettings settings, Sources sources) {
        this.settings = settings;
        this.sources = sources;
    }

    @Override
    public void handle(Event event, Moment now, Outbox out) {
        if (event instanceof Event.PlatformUnreachable) {
            isPlatformReachable = false;
        } else if (event instanceof Event.MapRead
                || event instanceof Event.ControlLeaseHeld
                || event instanceof Event.ConfigurationRead) {
            isPlatformReachable = true;
        } else if (event instanceof Event.StatusRequested requested) {
            out.emit(new Action.AnswerStatus(requested.requestId(), status(now)));
        }
    }

    private RouterStatus status(Moment now) {
        return new RouterStatus(
                settings.routerId(),
                settings.dataCentre(),
                sources.readiness().isReady(),
                sources.readiness().isStopping(),
                sources.leadership().isController(now),
                sources.witness().hasAuthority(now),
                isPlatformReachable,
                sources.maps().version(),
                sources.configuration().revision(),
                sources.entry().runningCount(),
                peers(now),
                servers(),
                sources.maps().map().ranges(),
                sources.maps().map().slices());
    }

    private List<PeerStatus> peers(Moment now) {
        List<String> seats = sources.maps().map().seats().current();
        return sources.roster().peers().stream()
                .map(peer -> peerStatus(peer, seats.contains(peer), now))
                .toList();
    }

    private PeerStatus peerStatus(String peer, boolean isSeat, Moment now) {
        Optional<PeerEvidence> evidence = sources.witness().evidence(peer);
        return new PeerStatus(
                peer,
                sources.witness().isHeard(peer, now),
                isSeat,
                evidence.map(PeerEvidence::mapVersion).orElse(0L),
                evidence.map(PeerEvidence::configurationRevision).orElse(0L));
    }

    private List<ServerSummary> servers() {
        return sources.roster().servers().stream().map(this::summary).toList();
    }

    private ServerSummary summary(VmRecord server) {
        Optional<ReportedServer> reported = sources.reports().server(server.id());
        boolean reportsDraining = reported.map(ReportedServer::view)
                .map(view -> view.status())
                .map(status -> status.isDraining())
                .orElse(false);
        return new ServerSummary(
                server.id(),
                sources.roster().serviceOf(server),
                server.dataCentre(),
                reported.map(known -> known.view().isReachable()).orElse(false),
                reportsDraining || server.isLeaving() || sources.roster().isDrainedByOperator(server),
                sources.roster().isOut(server),
                server.slotCount(),
                sources.dispatcher().runningAt(server.id()));
    }

    /**
     * The components whose state is reported. The record itself is immutable; the components are not.
     *
     * @param roster provides the listed VMs
     * @param configuration provides the configuration in force
     * @param maps provides the newest ownership map
     * @param witness provides the evidence from peers
     * @param leadership provides the state of the control lease
     * @param reports provides the dispatchers' reports
     * @param dispatcher provides the orders in flight of the ranges dispatched by this router
     * @param entry provides the requests in progress
     * @param readiness provides whether this router accepts requests
     */
    public record Sources(
            Roster roster,
            ConfigurationTracker configuration,
            OwnershipMapTracker maps,
            Witness witness,
            Leadership leadership,
            FleetReports reports,
            Dispatcher dispatcher,
            EntryRouter entry,
            Readiness readiness) {}
}
