package org.daisyscale.core.serving;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/** What happened to the request path. Each event is immutable. */
public sealed interface ServingEvent {

    /**
     * A caller's request is here, whole.
     *
     * @param requestId the router's own number of the request
     * @param head what decides on it
     * @param cameNanos when its last byte had come at the latest, by the monotonic clock: a router that is behind reads
     *     it later
     */
    record RequestArrived(long requestId, RequestHead head, long cameNanos) implements ServingEvent {}

    /** The caller of {@code requestId} closed its connection. */
    record CallerLeft(long requestId) implements ServingEvent {}

    /**
     * An attempt ended. Attempts that were cancelled don't end.
     *
     * @param requestId the request
     * @param attempt the attempt's number
     * @param outcome how it ended
     * @param load the load that the server reported, if it did
     */
    record AttemptEnded(long requestId, int attempt, AttemptOutcome outcome, Optional<LoadReport> load)
            implements ServingEvent {}

    /** A configuration came; older ones than that in force are ignored. */
    record TableChanged(RoutingTable table) implements ServingEvent {}

    /** {@code servers} are all servers that are registered. */
    record ServersListed(List<BackendServer> servers) implements ServingEvent {

        public ServersListed {
            servers = List.copyOf(servers);
        }
    }

    /** {@code server} is new or changed. */
    record ServerChanged(BackendServer server) implements ServingEvent {}

    /** The server {@code serverId} is no longer registered. */
    record ServerRemoved(String serverId) implements ServingEvent {}

    /** {@code dataCentres} are those that must get no requests. */
    record EvacuationsChanged(Set<String> dataCentres) implements ServingEvent {

        public EvacuationsChanged {
            dataCentres = Set.copyOf(dataCentres);
        }
    }

    /** {@code map} came; older ones than that in force are ignored. */
    record KeyMapChanged(KeyMap map) implements ServingEvent {}

    /** {@code routerIds} are the routers that are registered. */
    record RoutersChanged(Set<String> routerIds) implements ServingEvent {

        public RoutersChanged {
            routerIds = Set.copyOf(routerIds);
        }
    }

    /** The routers told of last were all that were registered a moment ago. */
    record RoutersConfirmed() implements ServingEvent {}

    /**
     * This router is registered, so that the others can see it.
     *
     * @param sinceNanos since when, by the monotonic clock
     * @param untilNanos until when at least, by the monotonic clock
     */
    record RegistrationRenewed(long sinceNanos, long untilNanos) implements ServingEvent {}

    /** Time passed; something may be due. */
    record TimePassed() implements ServingEvent {}
}
