package org.daisyscale.cli.internal.decision;

/**
 * One difference between two documents. Immutable.
 *
 * @param kind whether the field was added, removed or changed
 * @param field the field, prefixed by its service and kind, such as {@code slot-lookup/lookup.deadlineMillis}
 * @param before the value before; empty for an added field
 * @param after the value after; empty for a removed field
 */
public record FieldChange(Kind kind, String field, String before, String after) {

    /** The type of a change. */
    public enum Kind {
        ADDED,
        REMOVED,
        CHANGED
    }

    /** Returns the change as one line of text. */
    public String describe() {
        return switch (kind) {
            case ADDED -> "+ %s: %s".formatted(field, after);
            case REMOVED -> "- %s: %s".formatted(field, before);
            case CHANGED -> "~ %s: %s -> %s".formatted(field, before, after);
        };
    }
}
