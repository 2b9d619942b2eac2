package org.daisyscale.core.internal.serving;

/**
 * Estimates how long work takes at a server now, relative to the usual duration, from the factor that the server
 * reports. Answers the load of neighbouring VMs, which make work take several times as long for 0.4 s at a time. Not
 * thread-safe; confined to the core thread.
 *
 * <p>Invariant: the influence of a report ends with the slow moment that it may have been sent in; from then on the
 * estimate is the mean of the reports.
 */
final class WorkDuration {
    /** Duration of a slow moment, in milliseconds; given by the platform. */
    private static final double MOMENT_MILLIS = 400;
    /** Weight of one report in the mean factor; the mean covers tens of slow moments. */
    private static final double MEAN_WEIGHT = 0.02;
    /** Factor above the mean from which on a server counts as slow; the factor of slow moments is 3. */
    private static final double SLOW_FACTOR = 1.5;

    private static final double NANOS_PER_MILLI = 1e6;

    private double reportedFactor = 1;
    private double meanFactor = 1;
    private long reportedNanos;
    private boolean hasReport;

    /** Records that the server reported {@code factor}, relative to the usual duration. */
    void record(double factor, long nowNanos) {
        reportedFactor = factor;
        meanFactor += MEAN_WEIGHT * (factor - meanFactor);
        reportedNanos = nowNanos;
        hasReport = true;
    }

    /** Returns the expected duration of work that starts now, relative to the usual duration. */
    double factor(long nowNanos) {
        double weight = reportWeight(nowNanos);
        return reportedFactor * weight + meanFactor * (1 - weight);
    }

    /** Returns whether the last report came from a slow moment that may not be over. */
    boolean isSlow(long nowNanos) {
        return reportWeight(nowNanos) > 0 && reportedFactor > SLOW_FACTOR;
    }

    /** Returns the probability that the moment of the last report lasts on: it was reported at any time within it. */
    private double reportWeight(long nowNanos) {
        double ageMillis = (nowNanos - reportedNanos) / NANOS_PER_MILLI;
        return hasReport ? Math.max(0, 1 - ageMillis / MOMENT_MILLIS) : 0;
    }
}
