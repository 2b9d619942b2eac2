package org.daisyscale.core.internal.keys;

/**
 * The fences and the versions of key maps that an era of the store begins with. They lie above all of earlier eras,
 * however many of those a restored store has lost: an era leaves room for 10^8 written maps. Up to era 8,191 they are
 * exact as a number of double precision, as some JSON parsers read them. Stateless.
 */
final class EraNumbers {
    private static final int ERA_SHIFT = 40;

    private EraNumbers() {}

    /** Returns the lowest number of {@code era}; 0 in era 0. */
    static long first(long era) {
        return era << ERA_SHIFT;
    }

    /** Returns the era in which {@code number} was assigned. */
    static long eraOf(long number) {
        return number >>> ERA_SHIFT;
    }
}
