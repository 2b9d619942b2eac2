package org.daisyscale.router.internal.serving;

import org.daisyscale.router.internal.log.EventLog;

/** Tracks whether this router can serve callers: it knows the fleet and is not stopping. Thread-safe. */
final class Readiness {
    private final StartTimes startTimes;
    private boolean isTableKnown;
    private boolean areServersKnown;
    private boolean areOperatorsKnown;
    private boolean areRoutersKnown;
    private boolean isStopping;
    private boolean wasReady;

    Readiness() {
        this(new StartTimes());
    }

    /** Creates the readiness of a router that knows nothing yet, and records in {@code startTimes} what it learns. */
    Readiness(StartTimes startTimes) {
        this.startTimes = startTimes;
    }

    synchronized void markTableKnown() {
        isTableKnown = true;
        startTimes.mark(StartStep.CONFIGURATION_KNOWN);
        logChange();
    }

    synchronized void markServersKnown() {
        areServersKnown = true;
        startTimes.mark(StartStep.SERVERS_KNOWN);
        logChange();
    }

    synchronized void markOperatorsKnown() {
        areOperatorsKnown = true;
        startTimes.mark(StartStep.EVACUATIONS_KNOWN);
        logChange();
    }

    synchronized void markRoutersKnown() {
        areRoutersKnown = true;
        startTimes.mark(StartStep.ROUTERS_KNOWN);
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
            if (wasReady) {
                startTimes.mark(StartStep.READY);
            }
            EventLog.info(
                    wasReady ? "ready" : "not-ready",
                    isStopping ? "stopping" : "configuration, servers and routers are known");
        }
    }
}
