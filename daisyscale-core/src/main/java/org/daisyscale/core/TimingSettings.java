package org.daisyscale.core;

/**
 * The intervals and timeouts of the ownership protocol. All routers of a region must use the same values. Immutable.
 *
 * @param pingIntervalMillis the interval between pings to a peer, in milliseconds
 * @param witnessPeriodMillis how long evidence from a peer is valid, counted from the sending of the ping, in
 *     milliseconds
 * @param grantLifeMillis the lifetime of a grant to a backend server, in milliseconds
 * @param permitLifeMillis the longest time from a permit to the sending of its order, in milliseconds
 * @param driftPerMille the maximum drift between two clocks, in thousandths
 * @param probeIntervalMillis the interval between probes of a backend server, in milliseconds
 * @param silenceLimitMillis the silence after which a server or router counts as lost, in milliseconds
 * @param controlLeaseMillis the duration of the control lease, in milliseconds
 */
public record TimingSettings(
        long pingIntervalMillis,
        long witnessPeriodMillis,
        long grantLifeMillis,
        long permitLifeMillis,
        long driftPerMille,
        long probeIntervalMillis,
        long silenceLimitMillis,
        long controlLeaseMillis) {
    private static final long CLOCK_MARGIN_MILLIS = 20;
    private static final long UNCHECKED_START_MILLIS = 300;

    /**
     * Returns the longest time from planning the move of a slice to its confirmation, in milliseconds. A server's
     * new incarnation waits longer than this for its first grant, so that slices which the previous incarnation gave up
     * are not granted again from an older map.
     */
    public long moveConfirmationLimitMillis() {
        return witnessPeriodMillis;
    }

    /**
     * Returns the longest time from a permit to the start of its order at a server that does not check orders, in
     * milliseconds.
     */
    public long uncheckedStartLimitMillis() {
        return permitLifeMillis + UNCHECKED_START_MILLIS;
    }

    /** Returns how long a server's new incarnation waits for its first grant, in milliseconds. */
    public long newIncarnationWaitMillis() {
        long waitMillis = moveConfirmationLimitMillis() + witnessPeriodMillis;
        return waitMillis + waitMillis * driftPerMille / 1_000 + CLOCK_MARGIN_MILLIS;
    }

    /** Returns the default settings. With them, the keys of a lost server are served again within 2.5 s. */
    public static TimingSettings defaults() {
        return new TimingSettings(100, 500, 900, 200, 10, 100, 500, 1_000);
    }
}
