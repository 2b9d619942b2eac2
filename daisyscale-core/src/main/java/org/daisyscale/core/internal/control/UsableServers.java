package org.daisyscale.core.internal.control;

import java.util.List;
import org.daisyscale.core.Moment;
import org.daisyscale.core.TimingSettings;
import org.daisyscale.core.internal.membership.Roster;
import org.daisyscale.core.membership.ServerStatus;
import org.daisyscale.core.membership.VmRecord;

/**
 * Selects the backend servers that may own slices: listed, not leaving, drained or in a data centre taken out, and not
 * reported as lost or draining. Not thread-safe; confined to the core thread.
 */
final class UsableServers {
    private final TimingSettings timing;
    private final Roster roster;
    private final FleetReports reports;

    UsableServers(TimingSettings timing, Roster roster, FleetReports reports) {
        this.timing = timing;
        this.roster = roster;
        this.reports = reports;
    }

    /** Returns the ids of the usable servers of {@code service}. */
    List<String> of(String service, Moment now) {
        return roster.serversOf(service).stream()
                .filter(roster::mayTakeWork)
                .map(VmRecord::id)
                .filter(server -> isNotReportedLost(server, now))
                .toList();
    }

    private boolean isNotReportedLost(String server, Moment now) {
        boolean isSilent = reports.silentMillis(server, now).orElse(0) >= timing.silenceLimitMillis();
        boolean isDraining = reports.server(server)
                .map(reported -> isDraining(reported.view().status()))
                .orElse(false);
        return !isSilent && !isDraining;
    }

    private static boolean isDraining(ServerStatus status) {
        return status != null && status.isDraining();
    }
}
