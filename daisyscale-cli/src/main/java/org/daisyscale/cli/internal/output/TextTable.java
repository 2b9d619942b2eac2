package org.daisyscale.cli.internal.output;

import java.util.ArrayList;
import java.util.List;

/** Aligns rows of text in columns. Not thread-safe. */
public final class TextTable {
    private static final String COLUMN_SEPARATOR = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    /** Creates a table with {@code headings}. */
    public TextTable(String... headings) {
        rows.add(List.of(headings));
    }

    /** Adds a row, which must have as many cells as there are headings. Replaces line feeds by spaces. */
    public void add(Object... cells) {
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            row.add(String.valueOf(cell).replace('\n', ' '));
        }
        rows.add(row);
    }

    /** Returns the lines of the table, starting with the headings. */
    public List<String> lines() {
        return rows.stream().map(this::line).toList();
    }

    private String line(List<String> row) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < row.size(); column++) {
            line.append(row.get(column));
            line.append(" ".repeat(width(column) - row.get(column).length()));
            line.append(COLUMN_SEPARATOR);
        }
        return line.toString().stripTrailing();
    }

    private int width(int column) {
        return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    }
}
