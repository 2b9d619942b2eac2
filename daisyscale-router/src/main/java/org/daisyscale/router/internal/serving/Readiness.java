package org.daisyscale.router.internal.serving;

import org.daisyscale.router.internal.log.EventLog;

/** Tracks whether this router can serve callers: it knows the fleet and is not stopping. Thread-safe. */
final class Readiness {
    private boolean isTableKnown;
    private boolean areServersKnown;
    private boolean areOperatorsKnown;
    private boolean areRoutersKnown;
    private boolean isStopping;
    private boolean wasReady;

    synchronized void markTableKnown() {
        isTableKnown = true;
        logChange();
    }

    synchronized void markServersKnown() {
        areServersKnown = true;
        logChange();
    }

    synchronized void markOperatorsKnown() {
        areOperatorsKnown = true;
        logChange();
    }

    synchronized void markRoutersKnown() {
        areRoutersKnown = true;
        logChange();
    }

    synchronized void markStopping() {
        isStopping = true;
        logChange();
    }

    synchronized boolean isReady() {
        return isTableKnown && areServersKnown && areOperatorsKnown && areRoutersKnown && !isStopping;
    }

    private void logChange() {
        if (isReady() != wasReady) {
            wasReady = isReady();
            EventLog.info(
                    wasReady ? "ready" : "not-ready",
                    isStopping ? "stopping" : "configuration, servers and routers are known");
        }
    }
}
