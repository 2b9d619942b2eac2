package org.daisyscale.core.document;

/**
 * Assigns one job name, or all job names with one prefix, to a service. Immutable.
 *
 * @param text the complete job name or the prefix
 * @param isPrefix whether {@code text} is a prefix
 */
public record JobRule(String text, boolean isPrefix) {

    /** Returns whether this rule applies to {@code jobName}. */
    public boolean matches(String jobName) {
        return isPrefix ? jobName.startsWith(text) : jobName.equals(text);
    }
}
