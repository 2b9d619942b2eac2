package org.daisyscale.router.internal.operator;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.daisyscale.core.document.EnvironmentDocument;
import org.junit.jupiter.api.Test;

class EnvironmentCheckingParserTest {
    private static final String TEXT = "formatVersion: 1\nenvironment: trial\nservices: []\n";

    @Test
    void shouldRejectADocumentOfAnotherEnvironmentAndNameTheLine() {
        DocumentParser.ParsedDocument parsed = parserFor("production", "trial").parse(TEXT);

        assertThat(parsed.document()).isNull();
        assertThat(parsed.problems()).singleElement().satisfies(problem -> {
            assertThat(problem.line()).isEqualTo(2);
            assertThat(problem.message()).contains("'trial'", "'production'");
        });
    }

    @Test
    void shouldAcceptADocumentOfItsOwnEnvironmentOrOfNone() {
        assertThat(parserFor("trial", "trial").parse(TEXT).problems()).isEmpty();
        assertThat(parserFor("trial", "").parse(TEXT).problems()).isEmpty();
    }

    @Test
    void shouldPassOnTheProblemsOfTheDelegate() {
        DocumentProblem mistake = new DocumentProblem(3, 5, "no such key");
        DocumentParser broken = text -> new DocumentParser.ParsedDocument(null, List.of(mistake));

        assertThat(new EnvironmentCheckingParser(broken, "trial").parse(TEXT).problems())
                .containsExactly(mistake);
    }

    private static DocumentParser parserFor(String own, String named) {
        EnvironmentDocument document = new EnvironmentDocument(1, named, List.of());
        return new EnvironmentCheckingParser(text -> new DocumentParser.ParsedDocument(document, List.of()), own);
    }
}
