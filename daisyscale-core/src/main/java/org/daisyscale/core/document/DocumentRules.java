package org.daisyscale.core.document;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Validates a well-formed document: names, ranges and the absence of ambiguous definitions. The static methods are
 * thread-safe.
 */
public final class DocumentRules {
    private static final Pattern SERVICE_NAME = Pattern.compile("[a-z][a-z0-9-]{0,62}");
    private static final Pattern ENVIRONMENT_NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
    private static final Pattern JOB_TEXT = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");
    private static final String NAME_HELP = "expects 1 to 63 of a-z, 0-9 and '-', the first a letter";
    private static final String ENVIRONMENT_HELP = "expects 1 to 63 of a-z, 0-9 and '-', the first a letter or digit";
    private static final String JOB_HELP =
            "expects 1 to 128 of A-Z, a-z, 0-9, '.', '_' and '-', the first a letter or digit";

    private final List<RuleViolation> violations = new ArrayList<>();
    private final Map<String, String> pathsByService = new HashMap<>();
    private final Map<String, String> pathsByJob = new HashMap<>();

    private DocumentRules() {}

    /** Returns all violations in {@code document}, in document order; empty if the document is valid. */
    public static List<RuleViolation> check(EnvironmentDocument document) {
        DocumentRules rules = new DocumentRules();
        rules.checkDocument(document);
        return List.copyOf(rules.violations);
    }

    private void checkDocument(EnvironmentDocument document) {
        if (document.formatVersion() != EnvironmentDocument.CURRENT_FORMAT_VERSION) {
            addViolation(
                    "formatVersion",
                    "this release reads format version %d only".formatted(EnvironmentDocument.CURRENT_FORMAT_VERSION));
        }
        if (!document.environment().isEmpty()) {
            checkText("environment", document.environment(), ENVIRONMENT_NAME, ENVIRONMENT_HELP);
        }
        checkSize("services", document.services().size(), DocumentRanges.SERVICE_COUNT);
        for (int i = 0; i < document.services().size(); i++) {
            checkService("services[%d]".formatted(i), document.services().get(i));
        }
    }

    private void checkService(String path, ServicePolicy service) {
        checkText(path + ".name", service.name(), SERVICE_NAME, NAME_HELP);
        checkUnique(pathsByService, service.name(), path + ".name", "the service name '%s' is used twice");
        checkSize(path + ".jobs", service.jobs().size(), DocumentRanges.JOB_COUNT);
        for (int i = 0; i < service.jobs().size(); i++) {
            checkJob("%s.jobs[%d]".formatted(path, i), service.jobs().get(i));
        }
        checkSlices(path, service);
        checkNumber(path + ".dispatchRangeCount", service.dispatchRangeCount(), DocumentRanges.DISPATCH_RANGE_COUNT);
        checkNumber(path + ".retryBudgetPercent", service.retryBudgetPercent(), DocumentRanges.RETRY_BUDGET_PERCENT);
        checkSize(path + ".kinds", service.kinds().size(), DocumentRanges.KIND_COUNT);
        checkKinds(path, service);
    }

    private void checkJob(String path, JobRule job) {
        checkText(path, job.text(), JOB_TEXT, JOB_HELP);
        checkUnique(pathsByJob, job.text(), path, "the job name or prefix '%s' is given twice");
    }

    private void checkSlices(String path, ServicePolicy service) {
        if (service.isExclusive()) {
            checkNumber(path + ".sliceCount", service.sliceCount(), DocumentRanges.SLICE_COUNT);
        } else if (service.sliceCount() != 0) {
            addViolation(path + ".sliceCount", "a pooled service has no slices; omit sliceCount");
        }
    }

    private void checkKinds(String path, ServicePolicy service) {
        Map<String, String> pathsByKind = new HashMap<>();
        for (int i = 0; i < service.kinds().size(); i++) {
            String kindPath = "%s.kinds[%d]".formatted(path, i);
            RequestKind kind = service.kinds().get(i);
            checkText(kindPath + ".name", kind.name(), SERVICE_NAME, NAME_HELP);
            checkUnique(pathsByKind, kind.name(), kindPath + ".name", "the kind name '%s' is used twice");
            violations.addAll(KindRules.check(kindPath, kind, service.ownership(), path + ".ownership"));
        }
        checkTemplates(path, service.kinds());
    }

    private void checkTemplates(String path, List<RequestKind> kinds) {
        if (!DocumentRanges.KIND_COUNT.contains(kinds.size())) {
            return;
        }
        List<Optional<PathTemplate>> templates = kinds.stream()
                .map(kind -> Optional.of(kind.pathTemplate())
                        .filter(PathTemplate::isValid)
                        .map(PathTemplate::of))
                .toList();
        for (int later = 1; later < kinds.size(); later++) {
            for (int earlier = 0; earlier < later; earlier++) {
                if (isSameMethod(kinds.get(earlier), kinds.get(later))
                        && areAmbiguous(templates.get(earlier), templates.get(later))) {
                    violations.add(ambiguity(path, kinds, earlier, later));
                }
            }
        }
    }

    private static RuleViolation ambiguity(String path, List<RequestKind> kinds, int earlier, int later) {
        RequestKind kind = kinds.get(later);
        return RuleViolation.between(
                "%s.kinds[%d].path".formatted(path, later),
                "%s.kinds[%d].path".formatted(path, earlier),
                "%s %s fits the same requests as kind '%s'"
                        .formatted(
                                kind.method(),
                                kind.pathTemplate(),
                                kinds.get(earlier).name()));
    }

    private static boolean isSameMethod(RequestKind one, RequestKind other) {
        return !one.method().isEmpty() && one.method().equals(other.method());
    }

    private static boolean areAmbiguous(Optional<PathTemplate> one, Optional<PathTemplate> other) {
        return one.isPresent() && other.isPresent() && one.get().collidesWith(other.get());
    }

    private void checkUnique(Map<String, String> pathsByName, String name, String path, String message) {
        String earlier = pathsByName.putIfAbsent(name, path);
        if (earlier != null) {
            violations.add(RuleViolation.between(path, earlier, message.formatted(name)));
        }
    }

    private void checkText(String path, String text, Pattern pattern, String help) {
        if (!pattern.matcher(text).matches()) {
            addViolation(path, help);
        }
    }

    private void checkNumber(String path, long value, NumberRange range) {
        if (!range.contains(value)) {
            addViolation(path, "%d is out of range; expects a whole number %s".formatted(value, range.inWords()));
        }
    }

    private void checkSize(String path, int size, NumberRange range) {
        if (!range.contains(size)) {
            addViolation(path, "has %d entries; expects %s".formatted(size, range.inWords()));
        }
    }

    private void addViolation(String path, String message) {
        violations.add(RuleViolation.at(path, message));
    }
}
