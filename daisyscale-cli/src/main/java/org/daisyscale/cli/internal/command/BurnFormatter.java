package org.daisyscale.cli.internal.command;

import java.text.DecimalFormat;
import java.text.DecimalFormatSymbols;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.daisyscale.cli.internal.burn.BurnReport;
import org.daisyscale.cli.internal.burn.BurnWindow;
import org.daisyscale.cli.internal.burn.KindBurn;
import org.daisyscale.cli.internal.burn.WindowBurn;
import org.daisyscale.cli.internal.output.TextTable;

/** Formats burn reports as text. Stateless and thread-safe. */
final class BurnFormatter {
    private BurnFormatter() {}

    /** Returns a table with a row for each kind, followed by broken invariants and notes. */
    static List<String> format(BurnReport report) {
        List<String> headings = new ArrayList<>(List.of("SERVICE/KIND", "OBJECTIVE", "GOOD", "BAD", "BUDGET LEFT"));
        BurnWindow.standard().forEach(window -> headings.add("BURN " + window.name()));
        TextTable table = new TextTable(headings.toArray(String[]::new));
        report.kinds().forEach(kind -> table.add(row(kind)));
        List<String> lines = new ArrayList<>(table.lines());
        lines.add("");
        lines.add("samples from %s to %s; good, bad and budget are counted from the start of the routers"
                .formatted(
                        Instant.ofEpochMilli(report.fromEpochMillis()), Instant.ofEpochMilli(report.toEpochMillis())));
        report.invariantsBroken()
                .forEach((promise, count) -> lines.add("INVARIANT BROKEN %s: %.0f times".formatted(promise, count)));
        lines.addAll(report.notes());
        return lines;
    }

    private static Object[] row(KindBurn kind) {
        List<Object> cells = new ArrayList<>();
        cells.add(kind.fullName());
        cells.add(String.format(Locale.ROOT, "%s%% in %d ms", percent(kind.goodPercent()), kind.latencyMillis()));
        cells.add(Math.round(kind.goodCount()));
        cells.add(Math.round(kind.badCount()));
        cells.add(String.format(Locale.ROOT, "%.1f%%", kind.budgetLeftPercent()));
        kind.windows().forEach(window -> cells.add(rate(window)));
        return cells.toArray();
    }

    private static String rate(WindowBurn window) {
        return window.isKnown() ? String.format(Locale.ROOT, "%.2f", window.burnRate()) : "unknown";
    }

    private static String percent(double percent) {
        return new DecimalFormat("0.###", DecimalFormatSymbols.getInstance(Locale.ROOT)).format(percent);
    }
}
