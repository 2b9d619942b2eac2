package org.daisyscale.core.document;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/** Validates one kind of request of a document. The static methods are thread-safe. */
final class KindRules {
    private static final Set<String> METHODS = Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");
    private static final Pattern HEADER_NAME = Pattern.compile("[A-Za-z0-9!#$%&'*+.^_`|~-]{1,64}");
    private static final Pattern QUERY_NAME = Pattern.compile("[A-Za-z0-9._~-]{1,64}");
    private static final double MAX_PERCENT = 100;

    private static final String PATH_HELP =
            "expects a path such as /slots/{key}: segments of text or one variable in braces, at most "
                    + DocumentRanges.MAX_PATH_CHARS + " characters, no query";

    private final String path;
    private final RequestKind kind;
    private final List<RuleViolation> violations = new ArrayList<>();

    private KindRules(String path, RequestKind kind) {
        this.path = path;
        this.kind = kind;
    }

    /** Returns all violations in {@code kind}, which is located at {@code path} in a service with {@code ownership}. */
    static List<RuleViolation> check(String path, RequestKind kind, Ownership ownership, String ownershipPath) {
        KindRules rules = new KindRules(path, kind);
        rules.checkRequestLine();
        rules.checkKey(ownership, ownershipPath);
        rules.checkNumbers();
        rules.checkAttempts();
        rules.checkHedging();
        rules.checkObjective();
        return rules.violations;
    }

    private void checkRequestLine() {
        require(
                METHODS.contains(kind.method()),
                "method",
                "expects one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS in upper case");
        if (!PathTemplate.isValid(kind.pathTemplate())) {
            require(false, "path", PATH_HELP);
            return;
        }
        List<String> variables = PathTemplate.of(kind.pathTemplate()).variables();
        require(new HashSet<>(variables).size() == variables.size(), "path", "names a variable twice");
    }

    private void checkKey(Ownership ownership, String ownershipPath) {
        switch (kind.keySource()) {
            case NONE ->
                require(
                        ownership == Ownership.POOLED,
                        "key",
                        ownershipPath,
                        "an exclusive service needs a key for each kind; its from is path, header or query");
            case PATH -> checkPathKey();
            case HEADER -> checkKeyName(HEADER_NAME, "expects the name of a header");
            case QUERY -> checkKeyName(QUERY_NAME, "expects the name of a query parameter");
            default -> throw new IllegalStateException("unknown key source " + kind.keySource());
        }
    }

    private void checkKeyName(Pattern pattern, String help) {
        require(pattern.matcher(kind.keyName()).matches(), "key.name", help);
    }

    private void checkPathKey() {
        if (!PathTemplate.isValid(kind.pathTemplate())) {
            return;
        }
        List<String> variables = PathTemplate.of(kind.pathTemplate()).variables();
        require(
                variables.contains(kind.keyName()),
                "key.name",
                "'%s' is no variable of the path; its variables are %s".formatted(kind.keyName(), variables));
    }

    private void checkNumbers() {
        checkNumber("deadlineMillis", kind.deadlineMillis(), DocumentRanges.DEADLINE_MILLIS);
        checkNumber("backoffMillis", kind.backoffMillis(), DocumentRanges.BACKOFF_MILLIS);
        require(
                !hasDeadline() || kind.backoffMillis() <= kind.deadlineMillis(),
                "backoffMillis",
                path + ".deadlineMillis",
                "%d exceeds the deadline of %d ms".formatted(kind.backoffMillis(), kind.deadlineMillis()));
        checkNumber("concurrencyLimit", kind.concurrencyLimit(), DocumentRanges.CONCURRENCY_LIMIT);
        checkNumber("bodyLimitBytes", kind.bodyLimitBytes(), DocumentRanges.BODY_LIMIT_BYTES);
    }

    private void checkAttempts() {
        if (kind.isIdempotent()) {
            checkNumber("maxAttempts", kind.maxAttempts(), DocumentRanges.IDEMPOTENT_ATTEMPTS);
            return;
        }
        require(
                DocumentRanges.NON_IDEMPOTENT_ATTEMPTS.contains(kind.maxAttempts()),
                "maxAttempts",
                path + ".idempotent",
                "%d is out of range; a kind that isn't idempotent expects a whole number %s"
                        .formatted(kind.maxAttempts(), DocumentRanges.NON_IDEMPOTENT_ATTEMPTS.inWords()));
    }

    private void checkHedging() {
        if (kind.hedgePercentile() == DocumentDefaults.HEDGE_PERCENTILE) {
            return;
        }
        require(
                kind.isIdempotent(),
                "hedgePercentile",
                path + ".idempotent",
                "only an idempotent kind may be hedged; leave it out");
        require(
                DocumentRanges.HEDGE_PERCENTILE.contains(kind.hedgePercentile()),
                "hedgePercentile",
                "%d is out of range; expects 0 to disable hedging, or a whole number %s"
                        .formatted(kind.hedgePercentile(), DocumentRanges.HEDGE_PERCENTILE.inWords()));
    }

    private void checkObjective() {
        double goodPercent = kind.objective().goodPercent();
        require(
                goodPercent > 0 && goodPercent <= MAX_PERCENT,
                "objective.goodPercent",
                "%s is out of range; expects a number greater than 0 and at most 100".formatted(goodPercent));
        long latencyMillis = kind.objective().latencyMillis();
        require(
                !hasDeadline() || latencyMillis >= 1 && latencyMillis <= kind.deadlineMillis(),
                "objective.latencyMillis",
                path + ".deadlineMillis",
                "%d is out of range; expects a whole number from 1 to the deadline of %d ms"
                        .formatted(latencyMillis, kind.deadlineMillis()));
    }

    private void checkNumber(String key, long value, NumberRange range) {
        require(
                range.contains(value),
                key,
                "%d is out of range; expects a whole number %s".formatted(value, range.inWords()));
    }

    private boolean hasDeadline() {
        return DocumentRanges.DEADLINE_MILLIS.contains(kind.deadlineMillis());
    }

    private void require(boolean isAccepted, String key, String message) {
        require(isAccepted, key, "", message);
    }

    private void require(boolean isAccepted, String key, String otherPath, String message) {
        if (!isAccepted) {
            violations.add(RuleViolation.between(path + "." + key, otherPath, message));
        }
    }
}
