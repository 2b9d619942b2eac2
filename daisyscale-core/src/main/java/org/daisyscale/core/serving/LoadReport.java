package org.daisyscale.core.serving;

/**
 * The load that a backend server reported with an answer. Immutable.
 *
 * @param runningCount the number of requests that are running
 * @param waitingCount the number of requests that wait for a slot
 * @param slots the number of requests that can run at once
 * @param workDurationPercent how long work takes on the server's machine now, in percent of the usual duration; above 0
 */
public record LoadReport(int runningCount, int waitingCount, int slots, int workDurationPercent) {
    /** The duration of work on a machine whose other load does not slow it down, in percent. */
    public static final int USUAL_DURATION_PERCENT = 100;

    /** Creates the report of a server that doesn't say how long work takes, which counts as the usual time. */
    public LoadReport(int runningCount, int waitingCount, int slots) {
        this(runningCount, waitingCount, slots, USUAL_DURATION_PERCENT);
    }

    /** Returns the number of running and waiting requests. */
    public int totalCount() {
        return runningCount + waitingCount;
    }

    /** Returns how long work takes now relative to the usual duration. */
    public double workDurationFactor() {
        return workDurationPercent / (double) USUAL_DURATION_PERCENT;
    }
}
