package org.daisyscale.core.serving;

/**
 * Who a caller is, as decided by the configuration in force. Immutable.
 *
 * @param isVerified whether the configuration has organisations; if not, what callers say of themselves is passed on
 * @param organisation the organisation that holds the caller's API key; empty on public routes
 */
public record CallerIdentity(boolean isVerified, String organisation) {
    /** The identity of each caller while the configuration has no organisations. */
    public static final CallerIdentity UNVERIFIED = new CallerIdentity(false, "");
    /** The identity of callers on public routes, where nobody is asked for an API key. */
    public static final CallerIdentity PUBLIC = new CallerIdentity(true, "");

    /** Returns the identity of a caller with an API key of {@code organisation}. */
    public static CallerIdentity of(Organisation organisation) {
        return new CallerIdentity(true, organisation.name());
    }
}
