package org.daisyscale.router.internal.operator;

import java.util.List;
import org.daisyscale.codec.document.DocumentException;
import org.daisyscale.codec.document.DocumentReader;

/** Parses documents with the codec's {@link DocumentReader}. Stateless; safe for use by several threads. */
public final class CodecDocumentParser implements DocumentParser {

    @Override
    public ParsedDocument parse(String text) {
        try {
            return new ParsedDocument(new DocumentReader().read(text), List.of());
        } catch (DocumentException e) {
            List<DocumentProblem> problems = e.problems().stream()
                    .map(problem -> new DocumentProblem(problem.line(), problem.column(), problem.message()))
                    .toList();
            return new ParsedDocument(null, problems);
        }
    }
}
