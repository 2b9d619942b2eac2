package org.daisyscale.cli.internal.command;

import java.util.List;
import org.daisyscale.cli.internal.decision.RouterStatusMerger;
import org.daisyscale.cli.internal.router.RouterFleet;
import org.daisyscale.core.status.RouterStatus;

/** Queries all named routers and merges their statuses. Stateless and thread-safe. */
final class MergedStatusReader {
    private MergedStatusReader() {}

    /**
     * Returns the merged status of all routers that answer. Prints a note if the controller is not among them, as only
     * the controller knows which backend servers are reachable.
     */
    static RouterStatus read(CliContext context, RouterFleet fleet) {
        List<RouterStatus> statuses = fleet.statuses().values();
        if (!RouterStatusMerger.hasController(statuses)) {
            context.console()
                    .printNotice("the controller is not among the routers that answered, so no backend server counts as"
                            + " reachable; name all routers with --router");
        }
        return RouterStatusMerger.merge(statuses);
    }
}
