package org.daisyscale.core.quota;

/** The times that routers and the controller agree on, in nanoseconds. Stateless. */
final class QuotaTiming {
    /**
     * Lifetime of credits from the sending of the report that wanted them. A controller that is lost keeps the credits
     * of its routers reserved for as long, so that it is shorter than the window.
     */
    static final long LIFETIME_NANOS = 3_000_000_000L;

    /** Lifetime by the clock of the controller, which may be 2% faster, plus 100 ms for what is being sent. */
    static final long LIFETIME_AT_CONTROLLER_NANOS = LIFETIME_NANOS + LIFETIME_NANOS / 50 + 100_000_000L;

    private QuotaTiming() {}
}
