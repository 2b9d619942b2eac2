package org.daisyscale.router.internal.operator;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.daisyscale.core.document.ConfigurationChange;
import org.daisyscale.core.error.ErrorCode;

/**
 * The body of an error reply to an operator, {@code application/problem+json}. Immutable.
 *
 * @param type a URI that names the kind of problem
 * @param title what happened
 * @param status the HTTP status
 * @param code the stable error code
 * @param detail the circumstances, and what to do about the problem
 * @param currentRevision the revision in force, after a conflict with another change; else null
 * @param history the most recent changes, after a conflict with another change; else null
 * @param problems the mistakes in the document, if it is invalid; else null
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record OperatorProblem(
        String type,
        String title,
        int status,
        String code,
        String detail,
        Long currentRevision,
        List<ConfigurationChange> history,
        List<DocumentProblem> problems) {

    static OperatorProblem of(int status, ErrorCode code, String detail) {
        String type = "urn:daisyscale:problem:" + code.code();
        String sentence = detail.isEmpty() ? code.remedy() + "." : detail + ". " + code.remedy() + ".";
        return new OperatorProblem(type, code.summary(), status, code.code(), sentence, null, null, null);
    }

    OperatorProblem withConflict(long revision, List<ConfigurationChange> changes) {
        return new OperatorProblem(type, title, status, code, detail, revision, changes, problems);
    }

    OperatorProblem withProblems(List<DocumentProblem> mistakes) {
        return new OperatorProblem(type, title, status, code, detail, currentRevision, history, mistakes);
    }
}
