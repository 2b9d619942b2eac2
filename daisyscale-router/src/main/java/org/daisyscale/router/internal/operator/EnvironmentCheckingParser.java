package org.daisyscale.router.internal.operator;

import java.util.List;

/**
 * Parses documents and rejects those that name an environment other than the router's own. A document that names no
 * environment is accepted. Immutable.
 */
public final class EnvironmentCheckingParser implements DocumentParser {
    private static final String ENVIRONMENT_KEY = "environment:";

    private final DocumentParser delegate;
    private final String environment;

    /** Creates a parser for the router's {@code environment} that parses with {@code delegate}. */
    public EnvironmentCheckingParser(DocumentParser delegate, String environment) {
        this.delegate = delegate;
        this.environment = environment;
    }

    @Override
    public ParsedDocument parse(String text) {
        ParsedDocument parsed = delegate.parse(text);
        if (!parsed.problems().isEmpty()
                || isAcceptedEnvironment(parsed.document().environment())) {
            return parsed;
        }
        String message =
                "the document is for environment '%s', the router for '%s'; remove the key or choose a matching router"
                        .formatted(parsed.document().environment(), environment);
        return new ParsedDocument(null, List.of(new DocumentProblem(environmentLine(text), 1, message)));
    }

    private boolean isAcceptedEnvironment(String named) {
        return named.isEmpty() || named.equals(environment);
    }

    private static int environmentLine(String text) {
        List<String> lines = text.lines().toList();
        int index = 0;
        while (index < lines.size() && !lines.get(index).startsWith(ENVIRONMENT_KEY)) {
            index++;
        }
        return index < lines.size() ? index + 1 : 1;
    }
}
