package org.daisyscale.cli.internal.burn;

import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** Renders a burn report as a self-contained HTML page. Stateless and thread-safe. */
public final class BurnPage {
    private static final String PAGE = """
            <!DOCTYPE html>
            <html lang="en">
            <head>
            <meta charset="utf-8">
            <title>Service-level burn</title>
            <style>
            body { font-family: sans-serif; margin: 2em; }
            table { border-collapse: collapse; }
            th, td { border: 1px solid #999; padding: 0.3em 0.6em; text-align: right; }
            th:first-child, td:first-child { text-align: left; }
            .over { background: #fcc; }
            </style>
            </head>
            <body>
            <h1>Service-level burn</h1>
            <p>Samples from %s to %s. Good, bad and budget count from the start of the routers.</p>
            <table>
            <tr><th>Service/kind</th><th>Objective</th><th>Good</th><th>Bad</th><th>Budget left</th>%s</tr>
            %s</table>
            <ul>
            %s</ul>
            %s
            %s
            </body>
            </html>
            """;
    private static final String UNKNOWN_CELL = "<td>unknown</td>";

    private BurnPage() {}

    /** Renders {@code report}; {@code unreachable} holds the addresses of routers that did not answer. */
    public static String render(BurnReport report, List<BurnTimeline> timelines, List<String> unreachable) {
        String heads = BurnWindow.standard().stream()
                .map(window -> "<th>Burn %s</th>".formatted(window.name()))
                .collect(Collectors.joining());
        String rows = report.kinds().stream().map(BurnPage::row).collect(Collectors.joining());
        return PAGE.formatted(
                Instant.ofEpochMilli(report.fromEpochMillis()),
                Instant.ofEpochMilli(report.toEpochMillis()),
                heads,
                rows,
                notes(report, unreachable),
                BurnPlots.overTime(timelines),
                BurnPlots.overWindows(report));
    }

    private static String row(KindBurn kind) {
        String windows = kind.windows().stream().map(BurnPage::cell).collect(Collectors.joining());
        return String.format(
                Locale.ROOT,
                "<tr><td>%s</td><td>%.5g%% in %d ms</td><td>%.0f</td><td>%.0f</td><td%s>%.1f%%</td>%s</tr>%n",
                escape(kind.fullName()),
                kind.goodPercent(),
                kind.latencyMillis(),
                kind.goodCount(),
                kind.badCount(),
                overspentAttribute(kind.budgetLeftPercent() < 0),
                kind.budgetLeftPercent(),
                windows);
    }

    private static String cell(WindowBurn window) {
        return window.isKnown()
                ? String.format(
                        Locale.ROOT, "<td%s>%.2f</td>", overspentAttribute(window.burnRate() > 1), window.burnRate())
                : UNKNOWN_CELL;
    }

    private static String overspentAttribute(boolean isOverspent) {
        return isOverspent ? " class=\"over\"" : "";
    }

    private static String notes(BurnReport report, List<String> unreachable) {
        StringBuilder notes = new StringBuilder();
        report.invariantsBroken()
                .forEach((promise, count) ->
                        notes.append(item("Invariant broken: %s, %.0f times".formatted(promise, count))));
        report.notes().forEach(note -> notes.append(item(note)));
        unreachable.forEach(address -> notes.append(item("%s failed to answer at least once".formatted(address))));
        return notes.toString();
    }

    private static String item(String text) {
        return "<li>%s</li>\n".formatted(escape(text));
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
