package org.daisyscale.core.internal.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.daisyscale.core.Moment;

/**
 * Binds a request to a server only when one has a free slot, and chooses the one with the lowest utilization that is
 * not straggling. A straggler gets one idempotent request at a time, as a probe of whether it has recovered. When more
 * than a third of the servers are slow, all servers are eligible, stragglers last. Not thread-safe; confined to the
 * core thread.
 */
final class LateBindingChooser implements ServerChooser {
    private static final int MIN_SERVERS_PER_STRAGGLER = 3;

    @Override
    public Optional<ServerTracker> bind(WaitingRequest request, List<ServerTracker> servers) {
        return Optional.empty();
    }

    @Override
    public Optional<ServerTracker> choose(
            WaitingRequest request,
            List<ServerTracker> serversWithFreeSlot,
            List<ServerTracker> usableServers,
            Moment now) {
        long slowCount = usableServers.stream()
                .filter(server -> server.isStraggling(now))
                .count();
        boolean areFewSlow = slowCount * MIN_SERVERS_PER_STRAGGLER <= usableServers.size();
        return serversWithFreeSlot.stream()
                .filter(server -> !areFewSlow || isUsable(server, request, now))
                .min(Comparator.comparing((ServerTracker server) -> server.isStraggling(now))
                        .thenComparing(LateBindingChooser::utilization));
    }

    private static boolean isUsable(ServerTracker server, WaitingRequest request, Moment now) {
        return !server.isStraggling(now) || (request.kind().isIdempotent() && server.isProbeDue(now));
    }

    private static double utilization(ServerTracker server) {
        return (double) server.running() / server.limit();
    }
}
