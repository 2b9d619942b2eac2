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
 * Collects a document's problems and the position of each path in the text. Rule violations at or below a malformed
 * path are dropped, because the value there is only a placeholder. Not thread-safe.
 */
final class ProblemLog {
    static final int MAX_PROBLEMS = 100;

    private final List<DocumentProblem> problems = new ArrayList<>();
    private final Map<String, DocumentProblem> positions = new HashMap<>();
    private final Set<String> malformedPaths = new HashSet<>();

    /** Records the position of {@code node} as the position of {@code path}. */
    void recordPosition(String path, Node node) {
        positions.put(path, problemAt(node.getStartMark(), ""));
    }

    /** Adds a problem at {@code node} and marks {@code path} as malformed. */
    void addMalformed(String path, Node node, String message) {
        malformedPaths.add(path);
        problems.add(problemAt(node.getStartMark(), message));
    }

    /** Adds a problem that belongs to no path; without a mark it is placed at line 1, column 1. */
    void addProblem(Optional<Mark> mark, String message) {
        problems.add(problemAt(mark, message));
    }

    /** Adds a rule violation, unless a path that it concerns or an ancestor of one is malformed. */
    void addViolation(RuleViolation violation) {
        if (isMalformed(violation.path()) || isMalformed(violation.otherPath())) {
            return;
        }
        DocumentProblem position = positionOf(violation.path());
        String other = violation.otherPath().isEmpty()
                ? ""
                : "; see also line %d"
                        .formatted(positionOf(violation.otherPath()).line());
        String key = violation.path().substring(violation.path().lastIndexOf('.') + 1);
        problems.add(new DocumentProblem(position.line(), position.column(), key + ": " + violation.message() + other));
    }

    boolean isEmpty() {
        return problems.isEmpty();
    }

    /**
     * Returns the first {@link #MAX_PROBLEMS} problems in text order. If there are more, a last entry gives the number
     * of the others.
     */
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
        int omittedCount = problems.size() - MAX_PROBLEMS;
        shortened.add(new DocumentProblem(last.line(), last.column(), "and %d more problems".formatted(omittedCount)));
        return shortened;
    }

    private boolean isMalformed(String path) {
        return !path.isEmpty() && pathAndAncestors(path).anyMatch(malformedPaths::contains);
    }

    private DocumentProblem positionOf(String path) {
        return pathAndAncestors(path)
                .map(positions::get)
                .filter(Objects::nonNull)
                .findFirst()
                .orElse(new DocumentProblem(1, 1, ""));
    }

    private static Stream<String> pathAndAncestors(String path) {
        return Stream.iterate(path, ancestor -> !ancestor.isEmpty(), ProblemLog::parent);
    }

    private static String parent(String path) {
        int separator = Math.max(path.lastIndexOf('.'), path.lastIndexOf('['));
        return separator < 0 ? "" : path.substring(0, separator);
    }

    private static DocumentProblem problemAt(Optional<Mark> mark, String message) {
        int line = mark.map(Mark::getLine).orElse(0);
        int column = mark.map(Mark::getColumn).orElse(0);
        return new DocumentProblem(line + 1, column + 1, message);
    }
}
