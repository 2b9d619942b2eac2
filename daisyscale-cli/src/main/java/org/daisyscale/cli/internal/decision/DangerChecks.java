package org.daisyscale.cli.internal.decision;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.daisyscale.core.status.RouterStatus;
import org.daisyscale.core.status.ServerSummary;

/** Detects operations that would leave too little capacity in service. Stateless and thread-safe. */
public final class DangerChecks {
    private DangerChecks() {}

    /** Returns the data centres of the reporting router and of all backend servers in {@code status}. */
    public static Set<String> dataCentres(RouterStatus status) {
        Set<String> names =
                status.servers().stream().map(ServerSummary::dataCentre).collect(Collectors.toCollection(TreeSet::new));
        names.add(status.dataCentre());
        return names;
    }

    /**
     * Returns the danger of taking {@code dataCentre} out of service while {@code alreadyOut} are out; empty if every
     * service keeps a backend server that is reachable, not draining and in service. Taking out the last data centre
     * with reachable backend servers can't be forced.
     */
    public static Optional<Danger> checkTakingOut(String dataCentre, Set<String> alreadyOut, RouterStatus status) {
        Set<String> remaining = status.servers().stream()
                .filter(ServerSummary::isReachable)
                .map(ServerSummary::dataCentre)
                .collect(Collectors.toSet());
        remaining.removeAll(alreadyOut);
        remaining.remove(dataCentre);
        if (remaining.isEmpty()) {
            return Optional.of(new Danger(
                    "'%s' is the last data centre in service with reachable backend servers".formatted(dataCentre),
                    false));
        }
        List<String> unserved = serversByService(status, server -> true).entrySet().stream()
                .filter(service -> service.getValue().stream()
                        .noneMatch(server -> acceptsRequests(server) && remaining.contains(server.dataCentre())))
                .map(Map.Entry::getKey)
                .toList();
        return unserved.isEmpty()
                ? Optional.empty()
                : Optional.of(new Danger(
                        "without '%s' no reachable backend server is left for %s"
                                .formatted(dataCentre, String.join(", ", unserved)),
                        true));
    }

    /**
     * Returns the danger of draining {@code server}; empty if at least half of the reachable backend servers of its
     * service still accept requests afterwards.
     */
    public static Optional<Danger> checkDraining(ServerSummary server, RouterStatus status) {
        List<ServerSummary> reachable = status.servers().stream()
                .filter(other -> other.service().equals(server.service()))
                .filter(ServerSummary::isReachable)
                .toList();
        long remaining = reachable.stream()
                .filter(other -> acceptsRequests(other) && !other.server().equals(server.server()))
                .count();
        if (remaining * 2 >= reachable.size() && remaining > 0) {
            return Optional.empty();
        }
        String reason = "it leaves %d of the %d reachable backend servers of %s in service, fewer than half"
                .formatted(remaining, reachable.size(), server.service());
        return Optional.of(new Danger(reason, true));
    }

    private static Map<String, List<ServerSummary>> serversByService(
            RouterStatus status, Predicate<ServerSummary> isCounted) {
        return status.servers().stream()
                .filter(isCounted)
                .collect(Collectors.groupingBy(ServerSummary::service, TreeMap::new, Collectors.toList()));
    }

    private static boolean acceptsRequests(ServerSummary server) {
        return server.isReachable() && !server.isDraining() && !server.isOut();
    }
}
