package org.daisyscale.router.internal.operator;

import java.util.List;
import org.daisyscale.core.document.EnvironmentDocument;

/** Parses the environment document that operators write. Implementations are safe for use by several threads. */
@FunctionalInterface
public interface DocumentParser {

    /**
     * Parses {@code text}.
     *
     * @return the document, or every mistake found in {@code text}
     */
    ParsedDocument parse(String text);

    /**
     * The result of parsing a document. Immutable.
     *
     * @param document the document; null when there are problems
     * @param problems every mistake; empty when the document is valid
     */
    record ParsedDocument(EnvironmentDocument document, List<DocumentProblem> problems) {

        public ParsedDocument {
            problems = List.copyOf(problems);
        }
    }
}
