package org.daisyscale.core.quota;

import java.util.List;

/**
 * What a router reports to the controller about its credits, and which it wants. Immutable.
 *
 * @param incarnation identifies the router's process
 * @param term identifies the controller's ledger that the report is for; {@link #NO_TERM} if the router knows none
 * @param sequence increases with each report of the process
 * @param grantSequence the sequence of the last grant that the router received in this term
 * @param isWhole whether the report lists all organisations with credits or requests in the last window
 * @param uptimeMillis how long the process has been running, in milliseconds; it knows nothing of the time before
 * @param usages the organisations whose credits changed or that want credits
 */
public record QuotaReport(
        long incarnation,
        long term,
        long sequence,
        long grantSequence,
        boolean isWhole,
        long uptimeMillis,
        List<Usage> usages) {
    /** The term of a router that has not heard of a ledger. */
    public static final long NO_TERM = 0;

    public QuotaReport {
        usages = List.copyOf(usages);
    }

    /**
     * The credits of one organisation at the router. Immutable.
     *
     * @param organisation the name of the organisation
     * @param ranCount how many credits were spent since the last report; negative if more were returned than spent
     * @param heldCount how many credits the router holds
     * @param wantedCount how many more it wants
     * @param ranBySecond in a whole report, how many credits were spent by age in seconds, latest first
     */
    public record Usage(String organisation, long ranCount, long heldCount, long wantedCount, List<Long> ranBySecond) {

        public Usage {
            ranBySecond = List.copyOf(ranBySecond);
        }
    }
}
