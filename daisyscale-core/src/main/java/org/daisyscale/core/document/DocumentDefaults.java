package org.daisyscale.core.document;

/** The default values of keys that a document omits. Stateless and thread-safe. */
public final class DocumentDefaults {
    /** The number of slices of an exclusive service. */
    public static final int SLICE_COUNT = 128;

    public static final int DISPATCH_RANGE_COUNT = 1;
    public static final boolean CHECKS_ORDERS = true;
    public static final int RETRY_BUDGET_PERCENT = 20;
    public static final long BACKOFF_MILLIS = 10;
    /** Requests are never hedged. */
    public static final int HEDGE_PERCENTILE = 0;
    /** No limit. */
    public static final int CONCURRENCY_LIMIT = 0;

    public static final long BODY_LIMIT_BYTES = 65_536;
    public static final double GOOD_PERCENT = 99.9;

    private static final int IDEMPOTENT_ATTEMPTS = 3;
    private static final int SINGLE_ATTEMPT = 1;

    private DocumentDefaults() {}

    /** Returns the default number of slices for {@code ownership}; 0 for a pooled service. */
    public static int sliceCount(Ownership ownership) {
        return ownership == Ownership.EXCLUSIVE ? SLICE_COUNT : 0;
    }

    /** Returns the default maximum number of attempts: more than one only for idempotent kinds. */
    public static int maxAttempts(boolean isIdempotent) {
        return isIdempotent ? IDEMPOTENT_ATTEMPTS : SINGLE_ATTEMPT;
    }
}
