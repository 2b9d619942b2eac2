package org.daisyscale.core.internal.dispatch;

import java.util.List;
import java.util.Optional;
import org.daisyscale.core.internal.ownership.RangeKey;
import org.daisyscale.core.ownership.SliceAssignment;

/**
 * Decides where a request may run: at the owner of its key for an exclusive service, at the server that the dispatch
 * policy chooses for a pooled one. Not thread-safe; confined to the core thread.
 */
final class Placement {
    private final RangeKey key;
    private final DispatchContext context;
    private final ServerChooser chooser;

    Placement(RangeKey key, DispatchContext context, ServerChooser chooser) {
        this.key = key;
        this.context = context;
        this.chooser = chooser;
    }

    boolean isExclusive() {
        return context.configuration()
                .policies()
                .service(key.service())
                .map(service -> service.isExclusive())
                .orElse(false);
    }

    /** Returns the key of the queue that {@code request} waits in. */
    QueueKey queueOf(WaitingRequest request, List<ServerTracker> usableServers) {
        String limitedKind =
                request.kind().concurrencyLimit() > 0 ? request.kind().name() : "";
        String server = isExclusive()
                ? slice(request).map(SliceAssignment::server).orElse("")
                : chooser.bind(request, usableServers)
                        .map(ServerTracker::server)
                        .orElse("");
        return new QueueKey(server, limitedKind);
    }

    /** Returns the slice of the request's key, if its assignment is settled. */
    Optional<SliceAssignment> slice(WaitingRequest request) {
        return context.maps()
                .slice(key.service(), request.permitRequest().keyHash())
                .filter(SliceAssignment::isSettled);
    }
}
