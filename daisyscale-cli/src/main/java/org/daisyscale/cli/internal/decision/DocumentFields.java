package org.daisyscale.cli.internal.decision;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.daisyscale.core.document.EnvironmentDocument;
import org.daisyscale.core.document.JobRule;
import org.daisyscale.core.document.RequestKind;
import org.daisyscale.core.document.ServicePolicy;

/** Flattens a document into named fields, including fields set by default. Not thread-safe. */
final class DocumentFields {
    private final Map<String, String> fields = new LinkedHashMap<>();

    private DocumentFields() {}

    /** Returns the fields of {@code document}, in document order. */
    static Map<String, String> of(EnvironmentDocument document) {
        DocumentFields flattened = new DocumentFields();
        flattened.put("formatVersion", document.formatVersion());
        if (!document.environment().isEmpty()) {
            flattened.put("environment", document.environment());
        }
        document.services().forEach(flattened::add);
        return flattened.fields;
    }

    private void add(ServicePolicy service) {
        String name = service.name();
        for (JobRule job : service.jobs()) {
            put("%s.jobs.%s".formatted(name, job.text()), job.isPrefix() ? "prefix" : "name");
        }
        put(name + ".ownership", service.ownership().name().toLowerCase(Locale.ROOT));
        put(name + ".sliceCount", service.sliceCount());
        put(name + ".dispatchRangeCount", service.dispatchRangeCount());
        put(name + ".checksOrders", service.checksOrders());
        put(name + ".retryBudgetPercent", service.retryBudgetPercent());
        service.kinds().forEach(kind -> add(name + "/" + kind.name(), kind));
    }

    private void add(String name, RequestKind kind) {
        put(name + ".method", kind.method());
        put(name + ".path", kind.pathTemplate());
        put(name + ".key.from", kind.keySource().name().toLowerCase(Locale.ROOT));
        put(name + ".key.name", kind.keyName());
        put(name + ".idempotent", kind.isIdempotent());
        put(name + ".deadlineMillis", kind.deadlineMillis());
        put(name + ".maxAttempts", kind.maxAttempts());
        put(name + ".backoffMillis", kind.backoffMillis());
        put(name + ".hedgePercentile", kind.hedgePercentile());
        put(name + ".concurrencyLimit", kind.concurrencyLimit());
        put(name + ".bodyLimitBytes", kind.bodyLimitBytes());
        put(name + ".objective.goodPercent", kind.objective().goodPercent());
        put(name + ".objective.latencyMillis", kind.objective().latencyMillis());
    }

    private void put(String field, Object value) {
        fields.put(field, String.valueOf(value));
    }
}
