package org.daisyscale.codec.document;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.daisyscale.core.document.EnvironmentDocument;
import org.daisyscale.core.document.JobRule;
import org.daisyscale.core.document.KeySource;
import org.daisyscale.core.document.RequestKind;
import org.daisyscale.core.document.ServicePolicy;
import org.snakeyaml.engine.v2.api.Dump;
import org.snakeyaml.engine.v2.api.DumpSettings;
import org.snakeyaml.engine.v2.common.FlowStyle;

/**
 * Writes a document as YAML with all defaults written out; reading the text yields an equal document. Stateless and
 * thread-safe.
 *
 * <pre>{@code
 * String effective = new DocumentWriter().write(document);
 * }</pre>
 */
public final class DocumentWriter {
    private static final int INDENT_CHARS = 2;

    /** Returns {@code document} as YAML text. */
    public String write(EnvironmentDocument document) {
        Map<String, Object> root = new LinkedHashMap<>();
        root.put("formatVersion", document.formatVersion());
        if (!document.environment().isEmpty()) {
            root.put("environment", document.environment());
        }
        root.put(
                "services",
                document.services().stream().map(DocumentWriter::service).toList());
        DumpSettings settings = DumpSettings.builder()
                .setDefaultFlowStyle(FlowStyle.BLOCK)
                .setIndent(INDENT_CHARS * 2)
                .setIndicatorIndent(INDENT_CHARS)
                .setDereferenceAliases(true)
                .build();
        return new Dump(settings).dumpToString(root);
    }

    private static Map<String, Object> service(ServicePolicy service) {
        Map<String, Object> values = new LinkedHashMap<>();
        values.put("name", service.name());
        values.put("jobs", service.jobs().stream().map(DocumentWriter::job).toList());
        values.put("ownership", service.ownership().name().toLowerCase(Locale.ROOT));
        if (service.isExclusive()) {
            values.put("sliceCount", service.sliceCount());
        }
        values.put("dispatchRangeCount", service.dispatchRangeCount());
        values.put("checksOrders", service.checksOrders());
        values.put("retryBudgetPercent", service.retryBudgetPercent());
        values.put("kinds", service.kinds().stream().map(DocumentWriter::kind).toList());
        return values;
    }

    private static Map<String, String> job(JobRule job) {
        return Map.of(job.isPrefix() ? "prefix" : "name", job.text());
    }

    private static Map<String, Object> kind(RequestKind kind) {
        Map<String, Object> values = new LinkedHashMap<>();
        values.put("name", kind.name());
        values.put("method", kind.method());
        values.put("path", kind.pathTemplate());
        values.put("key", key(kind));
        values.put("idempotent", kind.isIdempotent());
        values.put("deadlineMillis", kind.deadlineMillis());
        values.put("maxAttempts", kind.maxAttempts());
        values.put("backoffMillis", kind.backoffMillis());
        values.put("hedgePercentile", kind.hedgePercentile());
        values.put("concurrencyLimit", kind.concurrencyLimit());
        values.put("bodyLimitBytes", kind.bodyLimitBytes());
        values.put("objective", objective(kind));
        return values;
    }

    private static Map<String, Object> key(RequestKind kind) {
        Map<String, Object> values = new LinkedHashMap<>();
        values.put("from", kind.keySource().name().toLowerCase(Locale.ROOT));
        if (kind.keySource() != KeySource.NONE) {
            values.put("name", kind.keyName());
        }
        return values;
    }

    private static Map<String, Object> objective(RequestKind kind) {
        Map<String, Object> values = new LinkedHashMap<>();
        values.put("goodPercent", kind.objective().goodPercent());
        values.put("latencyMillis", kind.objective().latencyMillis());
        return values;
    }
}
