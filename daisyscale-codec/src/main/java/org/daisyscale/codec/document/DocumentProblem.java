package org.daisyscale.codec.document;

/**
 * Describes a problem in a document and its position in the text. Immutable.
 *
 * @param line the line number, starting at 1
 * @param column the column number, starting at 1
 * @param message what is wrong and, if useful, what is accepted
 */
public record DocumentProblem(int line, int column, String message) {

    @Override
    public String toString() {
        return "line %d, column %d: %s".formatted(line, column, message);
    }
}
