package org.daisyscale.core.document;

/** The accepted ranges of the numbers in a document. Stateless and thread-safe. */
public final class DocumentRanges {
    public static final NumberRange SERVICE_COUNT = new NumberRange(1, 1_000);
    public static final NumberRange JOB_COUNT = new NumberRange(1, 1_000);
    public static final NumberRange KIND_COUNT = new NumberRange(1, 200);
    public static final NumberRange SLICE_COUNT = new NumberRange(1, 4_096);
    public static final NumberRange DISPATCH_RANGE_COUNT = new NumberRange(1, 1_024);
    public static final NumberRange RETRY_BUDGET_PERCENT = new NumberRange(0, 100);
    public static final NumberRange DEADLINE_MILLIS = new NumberRange(1, 600_000);
    public static final NumberRange IDEMPOTENT_ATTEMPTS = new NumberRange(1, 10);
    public static final NumberRange NON_IDEMPOTENT_ATTEMPTS = new NumberRange(1, 3);
    public static final NumberRange BACKOFF_MILLIS = new NumberRange(0, 60_000);
    /** The percentiles at which a request may be hedged; 0, which disables hedging, is accepted as well. */
    public static final NumberRange HEDGE_PERCENTILE = new NumberRange(50, 99);

    public static final NumberRange CONCURRENCY_LIMIT = new NumberRange(0, 100_000);
    public static final NumberRange BODY_LIMIT_BYTES = new NumberRange(0, 104_857_600);
    /** The maximum length of a path template, in characters. */
    public static final int MAX_PATH_CHARS = 512;

    private DocumentRanges() {}
}
