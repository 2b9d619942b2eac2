package org.daisyscale.core.internal.serving;

/**
 * Tracks the load that other routers cause at the servers of one service. Answers bursts, where several routers would
 * fill the server whose last report is oldest: all routers choose the shortest wait, so the servers of a service
 * without keys are about equally busy, and the reports of all of them tell about each one.
 *
 * <p>Not thread-safe; confined to the core thread.
 */
final class ServiceLevel {
    /** Weight of one report in the level; a burst shows within about ten reports, a single busy server hardly. */
    private static final double REPORT_WEIGHT = 0.1;

    private double millis;
    private boolean isShared;

    /** Sets whether each server may get each request; otherwise, a server's load depends on its keys. */
    void share(boolean areServersEqual) {
        isShared = areServersEqual;
    }

    boolean isShared() {
        return isShared;
    }

    /** Records the time that one server needs for the requests of other routers, in milliseconds. */
    void record(double workMillis) {
        millis += REPORT_WEIGHT * (workMillis - millis);
    }

    /** Returns the time that a server needs for the requests of other routers, in milliseconds; the moving average. */
    double millis() {
        return millis;
    }
}
