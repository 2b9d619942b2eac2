package org.daisyscale.core.internal.dispatch;

import java.util.List;
import java.util.Optional;
import org.daisyscale.core.Moment;

/**
 * Binds each request to a server on arrival; the request then waits for that server only. Serves as the baseline that
 * late binding is compared with. Not thread-safe; confined to the core thread.
 */
final class EarlyBindingChooser implements ServerChooser {
    private final Pick pick;

    EarlyBindingChooser(Pick pick) {
        this.pick = pick;
    }

    @Override
    public Optional<ServerTracker> bind(WaitingRequest request, List<ServerTracker> servers) {
        return servers.isEmpty() ? Optional.empty() : Optional.of(pick.pick(request, servers));
    }

    @Override
    public Optional<ServerTracker> choose(
            WaitingRequest request,
            List<ServerTracker> serversWithFreeSlot,
            List<ServerTracker> usableServers,
            Moment now) {
        return serversWithFreeSlot.stream().findFirst();
    }

    /** Picks one server of a non-empty list. */
    @FunctionalInterface
    interface Pick {

        ServerTracker pick(WaitingRequest request, List<ServerTracker> servers);
    }
}
