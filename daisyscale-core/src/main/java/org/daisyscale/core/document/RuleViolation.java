package org.daisyscale.core.document;

/**
 * A violation of a rule in a document. Immutable.
 *
 * @param path the location in the document, such as {@code services[0].kinds[1].deadlineMillis}
 * @param otherPath the second location of a conflict; empty if there is none
 * @param message what is wrong and what is accepted
 */
public record RuleViolation(String path, String otherPath, String message) {

    /** Returns a violation at one location. */
    public static RuleViolation at(String path, String message) {
        return new RuleViolation(path, "", message);
    }

    /** Returns a conflict between two locations. */
    public static RuleViolation between(String path, String otherPath, String message) {
        return new RuleViolation(path, otherPath, message);
    }
}
