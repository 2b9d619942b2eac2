package org.daisyscale.core.status;

import java.util.List;
import org.daisyscale.core.ownership.RangeAssignment;
import org.daisyscale.core.ownership.SliceAssignment;

/**
 * A snapshot of one router's state for operators. Immutable.
 *
 * @param router the router's id
 * @param dataCentre the router's data centre
 * @param isReady whether the router is ready for requests
 * @param isStopping whether the router is in a planned stop
 * @param isController whether the router holds the control lease
 * @param hasAuthority whether a majority of the seats confirms the router's map
 * @param isPlatformReachable whether the platform's service answered the last call
 * @param mapVersion the newest map version that the router knows
 * @param configurationRevision the configuration revision in force
 * @param requestsRunning the number of requests in progress
 * @param peers the router's view of the other routers
 * @param servers the router's view of the backend servers
 * @param ranges the dispatch ranges of the router's map
 * @param slices the slices of the router's map
 */
public record RouterStatus(
        String router,
        String dataCentre,
        boolean isReady,
        boolean isStopping,
        boolean isController,
        boolean hasAuthority,
        boolean isPlatformReachable,
        long mapVersion,
        long configurationRevision,
        int requestsRunning,
        List<PeerStatus> peers,
        List<ServerSummary> servers,
        List<RangeAssignment> ranges,
        List<SliceAssignment> slices) {

    public RouterStatus {
        peers = List.copyOf(peers);
        servers = List.copyOf(servers);
        ranges = List.copyOf(ranges);
        slices = List.copyOf(slices);
    }
}
