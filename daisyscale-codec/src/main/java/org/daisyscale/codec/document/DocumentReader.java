package org.daisyscale.codec.document;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.daisyscale.core.document.DocumentDefaults;
import org.daisyscale.core.document.DocumentRules;
import org.daisyscale.core.document.EnvironmentDocument;
import org.daisyscale.core.document.JobRule;
import org.daisyscale.core.document.KeySource;
import org.daisyscale.core.document.Objective;
import org.daisyscale.core.document.Ownership;
import org.daisyscale.core.document.RequestKind;
import org.daisyscale.core.document.ServicePolicy;
import org.snakeyaml.engine.v2.nodes.Node;

/**
 * Reads the operators' document from YAML and fills in the defaults. Stateless and thread-safe.
 *
 * <pre>{@code
 * EnvironmentDocument document = new DocumentReader().read(text);
 * }</pre>
 */
public final class DocumentReader {
    /** Maximum size of a text, in bytes of UTF-8. */
    public static final int MAX_TEXT_BYTES = 512 * 1024;

    /**
     * Reads and validates one document.
     *
     * @param text the YAML text; an absent {@code environment} is read as the empty name
     * @throws DocumentException if the text is not a valid document; holds the problems found
     */
    public EnvironmentDocument read(String text) {
        ProblemLog log = new ProblemLog();
        int textBytes = text.getBytes(StandardCharsets.UTF_8).length;
        if (textBytes > MAX_TEXT_BYTES) {
            log.addProblem(
                    Optional.empty(), "has %d bytes; at most %d are accepted".formatted(textBytes, MAX_TEXT_BYTES));
            throw new DocumentException(log.sorted(), null);
        }
        Optional<EnvironmentDocument> document =
                new YamlParser(MAX_TEXT_BYTES, log).read(text).map(root -> document(log, root));
        document.ifPresent(parsed -> DocumentRules.check(parsed).forEach(log::addViolation));
        if (!log.isEmpty()) {
            throw new DocumentException(log.sorted(), null);
        }
        return document.orElseThrow();
    }

    private static EnvironmentDocument document(ProblemLog log, Node root) {
        MappingReader mapping = MappingReader.open(log, "", root, DocumentKeys.DOCUMENT);
        int formatVersion = mapping.requiredInt("formatVersion");
        String environment = mapping.text("environment", "");
        List<ServicePolicy> services = mapping.requiredList("services", DocumentKeys.SERVICE, DocumentReader::service);
        return new EnvironmentDocument(formatVersion, environment, services);
    }

    private static ServicePolicy service(MappingReader mapping) {
        Ownership ownership = mapping.choice("ownership", Ownership.class, null);
        return new ServicePolicy(
                mapping.requiredText("name"),
                mapping.requiredList("jobs", DocumentKeys.JOB, DocumentReader::job),
                ownership,
                mapping.intNumber("sliceCount", DocumentDefaults.sliceCount(ownership)),
                mapping.intNumber("dispatchRangeCount", DocumentDefaults.DISPATCH_RANGE_COUNT),
                mapping.bool("checksOrders", DocumentDefaults.CHECKS_ORDERS),
                mapping.intNumber("retryBudgetPercent", DocumentDefaults.RETRY_BUDGET_PERCENT),
                mapping.requiredList("kinds", DocumentKeys.KIND, DocumentReader::kind));
    }

    private static JobRule job(MappingReader mapping) {
        if (mapping.has("name") == mapping.has("prefix")) {
            mapping.addMalformed("a job expects either name or prefix");
        }
        return mapping.has("prefix")
                ? new JobRule(mapping.text("prefix", ""), true)
                : new JobRule(mapping.text("name", ""), false);
    }

    private static RequestKind kind(MappingReader mapping) {
        Optional<MappingReader> key = mapping.mapping("key", DocumentKeys.KEY);
        KeySource keySource = key.map(DocumentReader::keySource).orElse(KeySource.NONE);
        String keyName = key.map(keyMapping -> keyName(keyMapping, keySource)).orElse("");
        boolean isIdempotent = mapping.requiredBoolean("idempotent");
        long deadlineMillis = mapping.requiredLong("deadlineMillis");
        return new RequestKind(
                mapping.requiredText("name"),
                mapping.requiredText("method"),
                mapping.requiredText("path"),
                keySource,
                keyName,
                isIdempotent,
                deadlineMillis,
                mapping.intNumber("maxAttempts", DocumentDefaults.maxAttempts(isIdempotent)),
                mapping.longNumber("backoffMillis", Math.min(DocumentDefaults.BACKOFF_MILLIS, deadlineMillis)),
                mapping.intNumber("hedgePercentile", DocumentDefaults.HEDGE_PERCENTILE),
                mapping.intNumber("concurrencyLimit", DocumentDefaults.CONCURRENCY_LIMIT),
                mapping.longNumber("bodyLimitBytes", DocumentDefaults.BODY_LIMIT_BYTES),
                objective(mapping, deadlineMillis));
    }

    private static KeySource keySource(MappingReader key) {
        return key.choice("from", KeySource.class, null);
    }

    private static String keyName(MappingReader key, KeySource source) {
        if (source != KeySource.NONE) {
            return key.requiredText("name");
        }
        if (key.has("name")) {
            key.addMalformed("a key with 'from: none' takes no name; remove the name");
        }
        return "";
    }

    private static Objective objective(MappingReader kind, long deadlineMillis) {
        return kind.mapping("objective", DocumentKeys.OBJECTIVE)
                .map(objective -> new Objective(
                        objective.decimal("goodPercent", DocumentDefaults.GOOD_PERCENT),
                        objective.longNumber("latencyMillis", deadlineMillis)))
                .orElseGet(() -> new Objective(DocumentDefaults.GOOD_PERCENT, deadlineMillis));
    }
}
