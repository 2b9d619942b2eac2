package org.daisyscale.core.internal.dispatch;

import java.util.List;
import java.util.Optional;
import org.daisyscale.core.Moment;

/** A dispatch policy: decides which backend server of a pooled service runs a request, and when the choice is made. */
interface ServerChooser {

    /**
     * Returns the server that {@code request} is bound to on arrival and then waits for exclusively; empty when the
     * request may run at any server.
     */
    Optional<ServerTracker> bind(WaitingRequest request, List<ServerTracker> servers);

    /**
     * Returns the server that runs an unbound {@code request} now, out of those of {@code usableServers} that have a
     * free slot; empty to leave the request queued.
     */
    Optional<ServerTracker> choose(
            WaitingRequest request,
            List<ServerTracker> serversWithFreeSlot,
            List<ServerTracker> usableServers,
            Moment now);
}
