package org.daisyscale.codec.document;

import java.util.List;

/** Lists the keys of each mapping in a document, in the order in which they are written. Constants only. */
final class DocumentKeys {
    static final List<String> DOCUMENT = List.of("formatVersion", "environment", "services");
    static final List<String> SERVICE = List.of(
            "name",
            "jobs",
            "ownership",
            "sliceCount",
            "dispatchRangeCount",
            "checksOrders",
            "retryBudgetPercent",
            "kinds");
    static final List<String> JOB = List.of("name", "prefix");
    static final List<String> KIND = List.of(
            "name",
            "method",
            "path",
            "key",
            "idempotent",
            "deadlineMillis",
            "maxAttempts",
            "backoffMillis",
            "hedgePercentile",
            "concurrencyLimit",
            "bodyLimitBytes",
            "objective");
    static final List<String> KEY = List.of("from", "name");
    static final List<String> OBJECTIVE = List.of("goodPercent", "latencyMillis");

    private DocumentKeys() {}
}
