package org.daisyscale.cli.internal.command;

import java.time.Instant;
import java.util.List;
import org.daisyscale.cli.internal.output.TextTable;
import org.daisyscale.core.document.ConfigurationChange;

/** Formats the configuration history as text. Stateless and thread-safe. */
public final class HistoryFormatter {
    private HistoryFormatter() {}

    /** Returns a table with a row for each change, in the given order. */
    public static List<String> format(List<ConfigurationChange> changes) {
        TextTable table = new TextTable("REVISION", "AT", "AUTHOR", "CHANGE", "REASON");
        changes.forEach(change -> table.add(
                change.revision(),
                Instant.ofEpochMilli(change.atEpochMillis()),
                change.author(),
                change.summary(),
                change.reason()));
        return table.lines();
    }
}
