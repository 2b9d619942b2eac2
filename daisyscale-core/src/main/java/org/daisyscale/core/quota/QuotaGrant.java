package org.daisyscale.core.quota;

import java.util.List;

/**
 * The controller's reply to a {@link QuotaReport}. Immutable.
 *
 * @param incarnation the process that the grant is for
 * @param term identifies the controller's ledger
 * @param sequence increases with each grant to the process in the term; 0 if it carries no credits
 * @param reportSequence the sequence of the report
 * @param needsWhole whether the ledger needs a whole report before it can grant credits
 * @param shares the replies by organisation
 */
public record QuotaGrant(
        long incarnation, long term, long sequence, long reportSequence, boolean needsWhole, List<Share> shares) {
    /** The incarnation in a grant for whichever process of the router receives it; it carries no credits. */
    public static final long ANY_INCARNATION = 0;

    public QuotaGrant {
        shares = List.copyOf(shares);
    }

    /**
     * The credits for one organisation. Immutable.
     *
     * @param organisation the name of the organisation
     * @param wantedCount how many the router wanted
     * @param grantedCount how many it gets
     * @param retryAfterMillis when the next may be available, in milliseconds; 0 if more may be available at once
     */
    public record Share(String organisation, long wantedCount, long grantedCount, long retryAfterMillis) {}
}
