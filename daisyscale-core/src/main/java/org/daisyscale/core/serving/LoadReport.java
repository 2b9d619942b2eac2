package org.daisyscale.core.serving;

/**
 * The load that a backend server reported with an answer. Immutable.
 *
 * @param runningCount the number of requests that are running
 * @param waitingCount the number of requests that wait for a slot
 * @param slots the number of requests that can run at once
 */
public record LoadReport(int runningCount, int waitingCount, int slots) {

    /** Returns the number of running and waiting requests. */
    public int totalCount() {
        return runningCount + waitingCount;
    }
}
