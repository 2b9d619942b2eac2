package org.daisyscale.codec.document;

import java.util.List;
import java.util.stream.Collectors;
import org.daisyscale.core.error.DaisyscaleException;

/** Thrown if a document is invalid; holds the problems found. Immutable. */
public final class DocumentException extends DaisyscaleException {
    private static final long serialVersionUID = 1L;

    private final transient List<DocumentProblem> problems;

    /** Creates an exception for {@code problems}; {@code cause} may be null. */
    DocumentException(List<DocumentProblem> problems, Throwable cause) {
        super(DocumentErrorCode.INVALID_TEXT, describe(problems), cause);
        this.problems = List.copyOf(problems);
    }

    /** Returns the problems, sorted by line and column; at least one. */
    public List<DocumentProblem> problems() {
        return problems;
    }

    private static String describe(List<DocumentProblem> problems) {
        return problems.stream().map(DocumentProblem::toString).collect(Collectors.joining("; "));
    }
}
