package org.daisyscale.core.internal.serving;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;
import org.daisyscale.core.serving.ServingAction;

/** Creates log lines about evacuations that take effect in the decisions. Stateless. */
final class EvacuationReports {

    private EvacuationReports() {}

    /**
     * Returns the log line for {@code dataCentres}, the evacuated ones from now on. Requests of {@code open} that are
     * in flight there were sent before.
     */
    static ServingAction.Report create(
            Set<String> dataCentres, Collection<OpenRequest> open, FleetView fleet, long nowNanos) {
        long inFlightThere = open.stream()
                .filter(request -> request.currentServer() != null
                        && dataCentres.contains(request.currentServer().server().dataCentre()))
                .count();
        String detail = "dataCentres=%s openRequests=%d inFlightThere=%d missing=%s %s"
                .formatted(
                        new TreeSet<>(dataCentres),
                        open.size(),
                        inFlightThere,
                        fleet.missingKnowledge().orElse("nothing"),
                        fleet.configuration().describe(nowNanos));
        return new ServingAction.Report("evacuation-in-force", detail);
    }
}
