package org.daisyscale.core.quota;

/**
 * The fixed settings of the allowances. Immutable.
 *
 * @param windowMillis the length of the window in which an organisation's requests are counted, in milliseconds
 * @param overshoot the ratio by which the requests in a window may exceed the allowance
 * @param slackRequests the number of requests allowed in addition, per window and organisation
 */
public record QuotaSettings(long windowMillis, double overshoot, double slackRequests) {
    /** The settings of a deployment that states none. */
    public static final QuotaSettings DEFAULT = new QuotaSettings(5_000, 0, 0);
}
