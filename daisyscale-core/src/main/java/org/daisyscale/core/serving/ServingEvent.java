package org.daisyscale.core.serving;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.daisyscale.core.quota.QuotaGrant;

/** An event that the request path handles. Immutable. */
public sealed interface ServingEvent {

    /**
     * A caller's request arrived completely.
     *
     * @param requestId the id of the request within this router
     * @param head the properties that the decision depends on
     * @param fingerprint the same for each arrival of the same request, whichever caller and router it comes through;
     *     {@link RequestArrived#NO_FINGERPRINT} if unknown
     * @param arrivedNanos the latest time at which its last byte can have arrived, by the monotonic clock; an
     *     overloaded router reads the request later
     */
    record RequestArrived(long requestId, RequestHead head, long fingerprint, long arrivedNanos)
            implements ServingEvent {
        public static final long NO_FINGERPRINT = 0;

        /** Creates the event of a request without a fingerprint. */
        public RequestArrived(long requestId, RequestHead head, long arrivedNanos) {
            this(requestId, head, NO_FINGERPRINT, arrivedNanos);
        }
    }

    /** The caller of {@code requestId} closed its connection. */
    record CallerLeft(long requestId) implements ServingEvent {}

    /**
     * An attempt ended. Cancelled attempts produce no such event.
     *
     * @param requestId the id of the request
     * @param attempt the attempt's number
     * @param outcome how it ended
     * @param load the load that the server reported, if any
     * @param notice what the server announced
     * @param responseBytes the size of the response's body, in bytes; 0 without a response
     */
    record AttemptEnded(
            long requestId,
            int attempt,
            AttemptOutcome outcome,
            Optional<LoadReport> load,
            ServerNotice notice,
            long responseBytes)
            implements ServingEvent {

        /** Creates the event of an attempt without a response body. */
        public AttemptEnded(
                long requestId, int attempt, AttemptOutcome outcome, Optional<LoadReport> load, ServerNotice notice) {
            this(requestId, attempt, outcome, load, notice, 0);
        }

        /** Creates the event of an attempt with which the server announced nothing. */
        public AttemptEnded(long requestId, int attempt, AttemptOutcome outcome, Optional<LoadReport> load) {
            this(requestId, attempt, outcome, load, ServerNotice.NONE);
        }
    }

    /**
     * A configuration arrived; one older than that in force is ignored.
     *
     * @param table the configuration
     * @param source where this router has it from
     */
    record TableChanged(RoutingTable table, ConfigurationSource source) implements ServingEvent {

        /** Creates the event of a configuration that was read from the store at an unknown revision. */
        public TableChanged(RoutingTable table) {
            this(table, ConfigurationSource.fromStore(0));
        }
    }

    /**
     * This router's view of what operators wrote, with every {@link TableChanged} before, was known to be complete.
     *
     * @param confirmedNanos when it was known, by the monotonic clock
     */
    record ConfigurationConfirmed(long confirmedNanos) implements ServingEvent {}

    /** The complete list of registered servers was read. */
    record ServersListed(List<BackendServer> servers) implements ServingEvent {

        public ServersListed {
            servers = List.copyOf(servers);
        }
    }

    /**
     * {@code server} was registered or changed its registration.
     *
     * @param server the server as it registered itself
     * @param changedAt when the change happened
     */
    record ServerChanged(BackendServer server, EventTime changedAt) implements ServingEvent {

        /** Creates the event of a change that may have happened any time ago. */
        public ServerChanged(BackendServer server) {
            this(server, EventTime.UNKNOWN);
        }
    }

    /** The server {@code serverId} is no longer registered. */
    record ServerRemoved(String serverId) implements ServingEvent {}

    /**
     * The set of evacuated data centres, which must get no requests, was read for the first time or changed.
     *
     * @param evacuatedAtByDataCentre when the evacuation of each was acknowledged
     */
    record EvacuationsChanged(Map<String, EventTime> evacuatedAtByDataCentre) implements ServingEvent {

        public EvacuationsChanged {
            evacuatedAtByDataCentre = Map.copyOf(evacuatedAtByDataCentre);
        }

        /** Creates the event of evacuations that may have been acknowledged any time ago. */
        public EvacuationsChanged(Set<String> dataCentres) {
            this(dataCentres.stream()
                    .collect(Collectors.toMap(dataCentre -> dataCentre, dataCentre -> EventTime.UNKNOWN)));
        }

        /** Returns the evacuated data centres. */
        public Set<String> dataCentres() {
            return evacuatedAtByDataCentre.keySet();
        }
    }

    /** A key map arrived; one older than that in force is ignored. */
    record KeyMapChanged(KeyMap map) implements ServingEvent {}

    /** The set of registered routers changed to {@code routerIds}. */
    record RoutersChanged(Set<String> routerIds) implements ServingEvent {

        public RoutersChanged {
            routerIds = Set.copyOf(routerIds);
        }
    }

    /**
     * The last {@link RoutersChanged} was confirmed to list all routers that were registered.
     *
     * @param confirmedNanos when it was known to list them, by the monotonic clock
     */
    record RoutersConfirmed(long confirmedNanos) implements ServingEvent {}

    /**
     * This router's registration, by which the other routers know of it, was made or renewed.
     *
     * @param sinceNanos the start of the registration, by the monotonic clock
     * @param untilNanos the earliest end of the registration, by the monotonic clock
     */
    record RegistrationRenewed(long sinceNanos, long untilNanos) implements ServingEvent {}

    /** {@code server}, which may not be registered any more, answered a health check. */
    record HealthReported(BackendServer server, HealthReport report) implements ServingEvent {}

    /** Another router reported {@code news}. */
    record NewsReceived(FleetNews news) implements ServingEvent {}

    /** The controller granted credits of the organisations' allowances, or denied them. */
    record QuotaGranted(QuotaGrant grant) implements ServingEvent {}

    /** The VM was suspended, and the monotonic clock did not count the time. */
    record Suspended() implements ServingEvent {}

    /** The store has {@code losses} about a request, which this or another router wrote. */
    record LossesRead(LossRecord losses) implements ServingEvent {}

    /** The process ends shortly: all requests have to end now, so that their callers learn what became of them. */
    record StopDue() implements ServingEvent {}

    /** Time passed; a timer may be due. */
    record TimePassed() implements ServingEvent {}
}
