package org.daisyscale.cli.internal.router;

import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;
import org.daisyscale.codec.document.DocumentProblem;
import org.daisyscale.core.document.ConfigurationChange;

/**
 * An error response of a router in problem+json. Immutable.
 *
 * @param code the router's error code
 * @param title the summary of the error
 * @param detail the cause of the error
 * @param currentRevision the revision in force, if the configuration has changed since the base revision
 * @param history the newest changes, if the configuration has changed since the base revision
 * @param problems the problems of the document, if it is invalid
 */
record Problem(
        String code,
        String title,
        String detail,
        long currentRevision,
        List<ConfigurationChange> history,
        List<DocumentProblem> problems) {

    Problem {
        code = Objects.requireNonNullElse(code, "");
        title = Objects.requireNonNullElse(title, "");
        detail = Objects.requireNonNullElse(detail, "");
        history = List.copyOf(Objects.requireNonNullElse(history, List.of()));
        problems = List.copyOf(Objects.requireNonNullElse(problems, List.of()));
    }

    /** Returns the error as one line of text. */
    String describe() {
        return List.of(code, title, detail).stream()
                .filter(part -> !part.isEmpty())
                .collect(Collectors.joining(" "));
    }
}
