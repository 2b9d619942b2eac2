package org.daisyscale.core.internal.ownership;

/**
 * A lower bound on a backend server's clock, from one probe. Immutable.
 *
 * @param receivedNanos when the answer arrived, on this router's monotonic clock, in nanoseconds
 * @param serverMillis the server's clock in the answer, in milliseconds
 */
public record ServerClock(long receivedNanos, long serverMillis) {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long PER_MILLE = 1_000L;

    /**
     * Returns a lower bound on the server's clock, in milliseconds, at {@code nanos} of this router's monotonic clock.
     * The server read its clock before the answer arrived, so its clock has advanced by at least the time since then,
     * less the maximum drift.
     */
    public long lowerBoundMillis(long nanos, long driftPerMille) {
        long elapsedMillis = Math.floorDiv(nanos - receivedNanos, NANOS_PER_MILLI);
        return serverMillis + elapsedMillis - Math.floorDiv(elapsedMillis * driftPerMille, PER_MILLE) - 1;
    }
}
