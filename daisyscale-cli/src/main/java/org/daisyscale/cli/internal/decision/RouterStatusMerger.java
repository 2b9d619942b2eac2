package org.daisyscale.cli.internal.decision;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.daisyscale.core.status.RouterStatus;
import org.daisyscale.core.status.ServerSummary;

/**
 * Merges the states of several routers. Only the controller receives the state of every backend server, and each router
 * counts only the orders that it dispatches itself. Stateless and thread-safe.
 */
public final class RouterStatusMerger {
    private RouterStatusMerger() {}

    /**
     * Returns whether the controller is among {@code statuses}. Without the controller no backend server is known to be
     * reachable.
     */
    public static boolean hasController(Collection<RouterStatus> statuses) {
        return statuses.stream().anyMatch(RouterStatus::isController);
    }

    /**
     * Returns the state of the controller, or of the router with the newest map if the controller is missing. The
     * running count of each backend server is the sum over all routers.
     *
     * @param statuses the routers' states; must not be empty
     */
    public static RouterStatus merge(Collection<RouterStatus> statuses) {
        RouterStatus best = statuses.stream()
                .max(Comparator.comparing(RouterStatus::isController).thenComparingLong(RouterStatus::mapVersion))
                .orElseThrow();
        Map<String, Integer> runningByServer = statuses.stream()
                .flatMap(status -> status.servers().stream())
                .collect(Collectors.toMap(
                        ServerSummary::server, ServerSummary::runningCount, Integer::sum, TreeMap::new));
        List<ServerSummary> servers = best.servers().stream()
                .map(server -> withRunning(server, runningByServer.get(server.server())))
                .toList();
        return withServers(best, servers);
    }

    private static ServerSummary withRunning(ServerSummary server, int runningCount) {
        return new ServerSummary(
                server.server(),
                server.service(),
                server.dataCentre(),
                server.isReachable(),
                server.isDraining(),
                server.isOut(),
                server.slotLimit(),
                runningCount);
    }

    private static RouterStatus withServers(RouterStatus status, List<ServerSummary> servers) {
        return new RouterStatus(
                status.router(),
                status.dataCentre(),
                status.isReady(),
                status.isStopping(),
                status.isController(),
                status.hasAuthority(),
                status.isPlatformReachable(),
                status.mapVersion(),
                status.configurationRevision(),
                status.requestsRunning(),
                status.peers(),
                servers,
                status.ranges(),
                status.slices());
    }
}
