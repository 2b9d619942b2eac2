package org.daisyscale.codec.document;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.List;
import org.daisyscale.core.document.EnvironmentDocument;
import org.daisyscale.core.document.Objective;
import org.daisyscale.core.document.RequestKind;
import org.daisyscale.core.document.ServicePolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class DocumentReaderTest {
    private final DocumentReader reader = new DocumentReader();

    @Test
    void shouldFillInTheDefaults() {
        EnvironmentDocument document = reader.read(DocumentTexts.SMALL);

        ServicePolicy service = document.services().get(0);
        RequestKind kind = service.kinds().get(0);
        assertThat(document.environment()).isEmpty();
        assertThat(service.sliceCount()).isEqualTo(128);
        assertThat(service.dispatchRangeCount()).isEqualTo(1);
        assertThat(service.checksOrders()).isTrue();
        assertThat(service.retryBudgetPercent()).isEqualTo(20);
        assertThat(kind.maxAttempts()).isEqualTo(3);
        assertThat(kind.backoffMillis()).isEqualTo(10);
        assertThat(kind.bodyLimitBytes()).isEqualTo(65_536);
        assertThat(kind.objective()).isEqualTo(new Objective(99.9, 500));
    }

    @Test
    void shouldGiveANonIdempotentKindOneAttemptByDefault() {
        String text = DocumentTexts.SMALL.replace("idempotent: true", "idempotent: false");

        EnvironmentDocument document = reader.read(text);

        assertThat(document.services().get(0).kinds().get(0).maxAttempts()).isEqualTo(1);
    }

    @ParameterizedTest
    @MethodSource("org.daisyscale.codec.document.DocumentTexts#examples")
    void shouldReadTheWrittenEffectiveDocumentUnchanged(String text) {
        EnvironmentDocument document = reader.read(text);

        String effective = new DocumentWriter().write(document);

        assertThat(reader.read(effective)).isEqualTo(document);
        assertThat(effective).contains("retryBudgetPercent: 20").doesNotContain("&");
    }

    @Test
    void shouldReportAllProblemsAtOnceWithTheirPositions() {
        String text = DocumentTexts.SMALL
                .replace("deadlineMillis: 500", "deadlineMilis: 500")
                .replace("method: GET", "method: FETCH")
                .replace("ownership: exclusive", "ownership: exclusiv")
                .replace("idempotent: true", "idempotent: maybe");

        List<DocumentProblem> problems = problemsOf(text);

        assertThat(problems)
                .extracting(DocumentProblem::toString)
                .containsExactly(
                        "line 6, column 16: ownership: 'exclusiv' is unknown; expects one of exclusive, pooled",
                        "line 8, column 9: the key 'deadlineMillis' is missing",
                        "line 9, column 17: method: expects one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS in"
                                + " upper case",
                        "line 12, column 9: unknown key 'deadlineMilis'; did you mean 'deadlineMillis'?",
                        "line 13, column 21: idempotent: expects true or false");
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
                    deadlineMillis: 500 | deadlineMillis: 0 | 0 is out of range; expects a whole number
                    deadlineMillis: 500 | deadlineMillis: 99999999999999999999 | is out of range
                    deadlineMillis: 500 | deadlineMillis: 5.5 | expects a whole number
                    deadlineMillis: 500 | {deadlineMillis: 500 | not YAML
                    deadlineMillis: 500 | deadlineMillis: 5, maxAttempts: 3 | not YAML
                    idempotent: true | idempotent: "true" | expects true or false
                    idempotent: true | idempotent: !!bool perhaps | expects true or false
                    path: /slots/{key} | path: slots/{key} | expects a path such as
                    path: /slots/{key} | path: /slots/{key}?day=1 | expects a path such as
                    path: /slots/{key} | path: /slots/{slot} | 'key' is no variable of the path
                    path: /slots/{key} | path: /{key}/{key} | names a variable twice
                    key: {from: path, name: key} | key: {from: path} | the key 'name' is missing
                    key: {from: path, name: key} | key: {from: none} | an exclusive service needs a key for each kind
                    key: {from: path, name: key} | key: path | expects a mapping with the keys
                    key: {from: path, name: key} | key: {from: header, name: "a b"} | expects the name of a header
                    name: afd7-slot-lookup | name: 42 | expects text
                    name: afd7-slot-lookup | name: a/b | expects 1 to 128 of
                    name: afd7-slot-lookup | {name: a, prefix: b} | a job expects either name or prefix
                    name: slot-lookup | name: Slot | expects 1 to 63 of
                    formatVersion: 1 | formatVersion: 2 | this release reads format version 1 only
                    formatVersion: 1 | formatVersion: 4294967297 | out of range
                    ownership: exclusive | ownership: exclusive\\n    sliceCount: 0 | from 1 to 4096
                    """)
    void shouldSayWhatIsWrongAndWhatIsAccepted(String good, String bad, String expected) {
        String text =
                DocumentTexts.SMALL.replace(good, bad.replace("\\\\n", "\n").replace("\\n", "\n"));

        List<DocumentProblem> problems = problemsOf(text);

        assertThat(problems)
                .extracting(DocumentProblem::message)
                .anySatisfy(message -> assertThat(message).contains(expected));
    }

    @Test
    void shouldRejectHedgingAndManyAttemptsForANonIdempotentKind() {
        String text = DocumentTexts.SMALL.replace(
                "idempotent: true", "idempotent: false\n        hedgePercentile: 95\n        maxAttempts: 4");

        List<DocumentProblem> problems = problemsOf(text);

        assertThat(problems)
                .extracting(DocumentProblem::toString)
                .containsExactly(
                        "line 14, column 26: hedgePercentile: only an idempotent kind may be hedged; leave it out; see"
                                + " also line 13",
                        "line 15, column 22: maxAttempts: 4 is out of range; a kind that isn't idempotent expects a"
                                + " whole number from 1 to 3; see also line 13");
    }

    @ParameterizedTest
    @ValueSource(strings = {"-1", "0", "100.01", ".nan", ".inf"})
    void shouldRejectAnObjectiveOutsideZeroToAHundredPercent(String goodPercent) {
        String text = DocumentTexts.SMALL + "        objective: {goodPercent: %s}%n".formatted(goodPercent);

        List<DocumentProblem> problems = problemsOf(text);

        assertThat(problems).singleElement().satisfies(problem -> {
            assertThat(problem.line()).isEqualTo(14);
            assertThat(problem.message()).startsWith("goodPercent: ");
        });
    }

    @Test
    void shouldReportBothLinesOfAJobClaimedByTwoServices() {
        String second = DocumentTexts.SMALL.substring(DocumentTexts.SMALL.indexOf("  - name: slot-lookup"));
        String text = DocumentTexts.SMALL + second.replace("name: slot-lookup", "name: other");

        List<DocumentProblem> problems = problemsOf(text);

        assertThat(problems)
                .extracting(DocumentProblem::toString)
                .containsExactly("line 16, column 9: jobs[0]: the job name or prefix 'afd7-slot-lookup' is given twice;"
                        + " see also line 5");
    }

    @Test
    void shouldRejectTwoKindsThatMatchTheSameRequests() {
        String kind = DocumentTexts.SMALL.substring(DocumentTexts.SMALL.indexOf("      - name: lookup"));
        String text = DocumentTexts.SMALL
                + kind.replace("name: lookup", "name: other")
                        .replace("/slots/{key}", "/slots/{id}")
                        .replace("name: key", "name: id");

        List<DocumentProblem> problems = problemsOf(text);

        assertThat(problems)
                .extracting(DocumentProblem::toString)
                .containsExactly(
                        "line 16, column 15: path: GET /slots/{id} fits the same requests as kind 'lookup'; see"
                                + " also line 10");
    }

    @Test
    void shouldReportTheFirstLineOfADuplicateKey() {
        List<DocumentProblem> problems = problemsOf(DocumentTexts.SMALL + "        idempotent: false\n");

        assertThat(problems)
                .containsExactly(new DocumentProblem(14, 9, "the key 'idempotent' is given twice; first at line 13"));
    }

    @Test
    void shouldRejectAliases() {
        List<DocumentProblem> problems = problemsOf("a: &a [x, x]\nb: &b [*a, *a]\nc: [*b, *b]\n");

        assertThat(problems)
                .hasSize(4)
                .allSatisfy(problem -> assertThat(problem.message()).startsWith("aliases are not accepted"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", "# nothing\n", "- a\n", "text", "\u0000", "a: b: c", "%YAML 9.9\n---\na: b\n", "{? [a]: b}"})
    void shouldRejectTextThatIsNotADocument(String text) {
        assertThat(problemsOf(text)).isNotEmpty();
    }

    @Test
    void shouldRejectASecondDocument() {
        List<DocumentProblem> problems = problemsOf(DocumentTexts.SMALL + "---\n" + DocumentTexts.SMALL);

        assertThat(problems).singleElement().satisfies(problem -> {
            assertThat(problem.line()).isEqualTo(14);
            assertThat(problem.message()).startsWith("a second YAML document starts here");
        });
    }

    @Test
    void shouldRejectTextThatIsTooLongOrTooDeeplyNested() {
        String tooLong = "#".repeat(DocumentReader.MAX_TEXT_BYTES + 1);
        String tooDeep = "[".repeat(100_000);

        assertThat(problemsOf(tooLong)).first().asString().contains("at most 524288 are accepted");
        assertThat(problemsOf(tooDeep)).first().asString().contains("nested more than 16 levels deep");
    }

    @Test
    @Timeout(20)
    void shouldRejectThousandsOfKindsWithoutComparingEachPair() {
        StringBuilder text = new StringBuilder(DocumentTexts.SMALL);
        for (int i = 0; i < 4_000; i++) {
            text.append("      - {name: k%d, method: GET, path: '/a/{k}', idempotent: true, deadlineMillis: 5}%n"
                    .formatted(i));
        }

        assertThat(problemsOf(text.toString()))
                .hasSize(ProblemLog.MAX_PROBLEMS + 1)
                .anySatisfy(problem ->
                        assertThat(problem.message()).isEqualTo("kinds: has 4001 entries; expects from 1 to 200"));
    }

    @Test
    void shouldReportABoundedNumberOfProblems() {
        String text = "x1: 1\n" + "x: 1\n".repeat(50_000);

        List<DocumentProblem> problems = problemsOf(text);

        assertThat(problems).hasSize(ProblemLog.MAX_PROBLEMS + 1);
        assertThat(problems.get(ProblemLog.MAX_PROBLEMS).message()).endsWith("more problems");
    }

    private List<DocumentProblem> problemsOf(String text) {
        DocumentException exception = catchThrowableOfType(DocumentException.class, () -> reader.read(text));
        assertThat(exception).as("the exception for the document").isNotNull();
        return exception.problems();
    }
}
