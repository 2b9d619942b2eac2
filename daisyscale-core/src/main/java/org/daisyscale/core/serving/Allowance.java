package org.daisyscale.core.serving;

/**
 * How many requests of an organisation may run, over all routers: in any window at most the rate times the window's
 * length plus the burst. Immutable.
 *
 * @param requestsPerSecond the rate, in requests per second; 0 means no limit
 * @param burstRequests the number of requests allowed in addition
 */
public record Allowance(double requestsPerSecond, double burstRequests) {
    public static final Allowance UNLIMITED = new Allowance(0, 0);

    public Allowance {
        if (!(requestsPerSecond >= 0) || !(burstRequests >= 0)) {
            throw new IllegalArgumentException("an allowance must not be negative");
        }
    }

    /** Returns whether requests are limited at all. */
    public boolean isLimited() {
        return requestsPerSecond > 0;
    }

    /** Returns whether fewer requests may run than by {@code other}, at least in windows of some length. */
    public boolean isLowerThan(Allowance other) {
        return isLimited() && (requestsPerSecond < other.requestsPerSecond || burstRequests < other.burstRequests);
    }

    /** Returns how many requests may run in a window of {@code windowMillis} milliseconds. */
    public double requestsPerWindow(long windowMillis) {
        return requestsPerSecond * windowMillis / 1e3 + burstRequests;
    }
}
