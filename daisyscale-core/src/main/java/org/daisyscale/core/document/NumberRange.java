package org.daisyscale.core.document;

/**
 * A range of accepted integers, both bounds inclusive. Immutable.
 *
 * @param min the smallest accepted value
 * @param max the largest accepted value
 */
public record NumberRange(long min, long max) {

    /** Returns whether {@code value} is in this range. */
    public boolean contains(long value) {
        return min <= value && value <= max;
    }

    /** Returns a readable form of this range, such as {@code from 1 to 10}. */
    public String inWords() {
        return "from %d to %d".formatted(min, max);
    }
}
