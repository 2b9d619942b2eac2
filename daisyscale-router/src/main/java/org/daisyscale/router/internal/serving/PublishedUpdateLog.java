package org.daisyscale.router.internal.serving;

import org.daisyscale.core.peer.PeerMessage.OperatorUpdate;
import org.daisyscale.router.internal.log.EventReporter;

/**
 * Reports what becomes of the updates that this router has for the others: one line whenever the outcome changes, and
 * on the controller one for each newer version of the configuration. Not thread-safe; guarded by its owner's lock.
 */
final class PublishedUpdateLog {
    private final EventReporter log;
    private Outcome lastOutcome;
    private long lastVersion;

    PublishedUpdateLog(EventReporter log) {
        this.log = log;
    }

    /** Records that the controller sent {@code update} to {@code routerCount} connected routers, which may be none. */
    void recordSent(OperatorUpdate update, int routerCount) {
        boolean isNewer = update.table().version() > lastVersion;
        if (routerCount == 0) {
            record(
                    Outcome.NO_ROUTER_CONNECTED,
                    isNewer,
                    "operator-update-unsent",
                    update,
                    "reason=no-router-connected");
        } else {
            record(Outcome.SENT, isNewer, "operator-update-sent", update, "routers=" + routerCount);
        }
    }

    /** Records that {@code update} was not sent because this router is not the controller, as far as it knows. */
    void recordNotController(OperatorUpdate update) {
        record(Outcome.NOT_CONTROLLER, false, "operator-update-unsent", update, "reason=not-controller");
    }

    private void record(Outcome outcome, boolean isNewer, String event, OperatorUpdate update, String detail) {
        long version = update.table().version();
        if (outcome != lastOutcome || isNewer) {
            log.report(event, "version=%d revision=%d %s".formatted(version, update.revision(), detail));
        }
        lastOutcome = outcome;
        lastVersion = Math.max(lastVersion, version);
    }

    private enum Outcome {
        SENT,
        NO_ROUTER_CONNECTED,
        NOT_CONTROLLER
    }
}
