package org.daisyscale.codec.document;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.daisyscale.core.document.RuleViolation;
import org.snakeyaml.engine.v2.exceptions.Mark;
import org.snakeyaml.engine.v2.nodes.Node;

/**
 * Gathers a document's problems and remembers where each path stands in the text. A path that has a problem of form is
 * spared the rules, as its value is only a placeholder. Not safe for use by several threads.
 */
final class ProblemLog {
    static final int MAX_PROBLEMS = 100;

    private final List<DocumentProblem> problems = new ArrayList<>();
    private final Map<String, DocumentProblem> places = new HashMap<>();
    private final Set<String> malformedPaths = new HashSet<>();

    /** Remembers that {@code path} stands at {@code node}. */
    void place(String path, Node node) {
        places.put(path, problemAt(node.getStartMark(), ""));
    }

    /** Notes a problem of form at {@code node}, which stands at {@code path}. */
    void malformed(String path, Node node, String message) {
        malformedPaths.add(path);
        problems.add(problemAt(node.getStartMark(), message));
    }

    /** Notes a problem that has no path. */
    void note(Optional<Mark> mark, String message) {
        problems.add(problemAt(mark, message));
    }

    /** Notes a broken rule, unless its value is a placeholder. */
    void note(RuleViolation breach) {
        if (isMalformed(breach.path()) || isMalformed(breach.otherPath())) {
            return;
        }
        DocumentProblem place = placeOf(breach.path());
        String other = breach.otherPath().isEmpty()
                ? ""
                : "; see also line %d".formatted(placeOf(breach.otherPath()).line());
        String key = breach.path().substring(breach.path().lastIndexOf('.') + 1);
        problems.add(new DocumentProblem(place.line(), place.column(), key + ": " + breach.message() + other));
    }

    boolean isEmpty() {
        return problems.isEmpty();
    }

    /** The problems in the order of the text, the first {@link #MAX_PROBLEMS} of them. */
    List<DocumentProblem> sorted() {
        List<DocumentProblem> sorted = problems.stream()
                .sorted(Comparator.comparingInt(DocumentProblem::line).thenComparingInt(DocumentProblem::column))
                .limit(MAX_PROBLEMS)
                .toList();
        if (problems.size() <= MAX_PROBLEMS) {
            return sorted;
        }
        List<DocumentProblem> shortened = new ArrayList<>(sorted);
        DocumentProblem last = sorted.get(MAX_PROBLEMS - 1);
        int left = problems.size() - MAX_PROBLEMS;
        shortened.add(new DocumentProblem(last.line(), last.column(), "and %d more problems".formatted(left)));
        return shortened;
    }

    private boolean isMalformed(String path) {
        return !path.isEmpty() && ancestry(path).anyMatch(malformedPaths::contains);
    }

    private DocumentProblem placeOf(String path) {
        return ancestry(path)
                .map(places::get)
                .filter(Objects::nonNull)
                .findFirst()
                .orElse(new DocumentProblem(1, 1, ""));
    }

    private static Stream<String> ancestry(String path) {
        return Stream.iterate(path, step -> !step.isEmpty(), ProblemLog::parent);
    }

    private static String parent(String path) {
        int cut = Math.max(path.lastIndexOf('.'), path.lastIndexOf('['));
        return cut < 0 ? "" : path.substring(0, cut);
    }

    private static DocumentProblem problemAt(Optional<Mark> mark, String message) {
        int line = mark.map(Mark::getLine).orElse(0);
        int column = mark.map(Mark::getColumn).orElse(0);
        return new DocumentProblem(line + 1, column + 1, message);
    }
}
