package org.daisyscale.core.document;

/**
 * A range of accepted integers, both bounds inclusive. Immutable.
 *
 * @param least the smallest accepted value
 * @param most the largest accepted value
 */
public record NumberRange(long least, long most) {

    /** Returns whether {@code value} is in this range. */
    public boolean contains(long value) {
        return least <= value && value <= most;
    }

    /** Returns a readable form of this range, such as {@code from 1 to 10}. */
    public String inWords() {
        return "from %d to %d".formatted(least, most);
    }
}
