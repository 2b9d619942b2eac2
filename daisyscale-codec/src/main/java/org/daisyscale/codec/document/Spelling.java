package org.daisyscale.codec.document;

import java.util.Collection;
import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;

/** Suggests known names for misspelt ones. Stateless and thread-safe. */
final class Spelling {
    private static final int MAX_EDITS = 3;
    private static final int MAX_CHARS = 64;

    private Spelling() {}

    /**
     * Returns the known name with the smallest case-insensitive edit distance, if the distance is within the limit for
     * that name. A name longer than {@link #MAX_CHARS} characters gets no suggestion.
     */
    static Optional<String> nearest(String misspelt, Collection<String> known) {
        if (misspelt.length() > MAX_CHARS) {
            return Optional.empty();
        }
        return known.stream()
                .filter(name -> distance(misspelt, name) <= allowedEdits(name))
                .min(Comparator.comparingInt(name -> distance(misspelt, name)));
    }

    private static int allowedEdits(String name) {
        return Math.min(MAX_EDITS, Math.max(1, name.length() / 3));
    }

    private static int distance(String one, String other) {
        String left = one.toLowerCase(Locale.ROOT);
        String right = other.toLowerCase(Locale.ROOT);
        int[] previous = new int[right.length() + 1];
        for (int column = 0; column <= right.length(); column++) {
            previous[column] = column;
        }
        for (int row = 1; row <= left.length(); row++) {
            previous = nextRow(previous, row, left.charAt(row - 1), right);
        }
        return previous[right.length()];
    }

    private static int[] nextRow(int[] previous, int row, char letter, String right) {
        int[] current = new int[previous.length];
        current[0] = row;
        for (int column = 1; column < current.length; column++) {
            int substitution = previous[column - 1] + (letter == right.charAt(column - 1) ? 0 : 1);
            int insertion = current[column - 1] + 1;
            int deletion = previous[column] + 1;
            current[column] = Math.min(substitution, Math.min(insertion, deletion));
        }
        return current;
    }
}
