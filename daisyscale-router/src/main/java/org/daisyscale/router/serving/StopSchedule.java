package org.daisyscale.router.serving;

/**
 * When a router that was asked to stop gives up what is still open. All times count from the request to stop.
 *
 * <p>Invariant: no work that its server ends by {@code servedMillis} is given up. Immutable.
 *
 * @param servedMillis the time by which work has to end at its server to be delivered, in milliseconds
 * @param killMillis when the platform kills the process, in milliseconds
 */
public record StopSchedule(long servedMillis, long killMillis) {
    /** What the process needs to end after its last response, in milliseconds. */
    private static final long EXIT_MILLIS = 450;
    /** The parts into which the time between the last work and the end of the process is divided. */
    private static final int PARTS = 3;

    /**
     * Returns from when on a request is given up that holds up the response to another one, in milliseconds. Work that
     * ended in time has been delivered by then.
     */
    public long giveUpBlockingMillis() {
        return servedMillis + (endMillis() - servedMillis) / PARTS;
    }

    /** Returns when all requests are given up, in milliseconds; the rest of the time is for their responses. */
    public long giveUpAllMillis() {
        return servedMillis + (endMillis() - servedMillis) * 2 / PARTS;
    }

    /** Returns when the process starts to end, whether or not callers have read their responses, in milliseconds. */
    public long endMillis() {
        return Math.max(servedMillis, killMillis - EXIT_MILLIS);
    }
}
