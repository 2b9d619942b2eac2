package org.daisyscale.cli.internal.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import org.daisyscale.cli.internal.burn.BurnArithmetic;
import org.daisyscale.cli.internal.burn.BurnReport;
import org.daisyscale.cli.internal.burn.BurnWindow;
import org.daisyscale.cli.internal.burn.CountFrom;
import org.daisyscale.cli.internal.burn.KindBurn;
import org.daisyscale.cli.internal.burn.RouterSample;
import org.daisyscale.cli.internal.burn.WindowBurn;
import org.daisyscale.core.document.ConfigurationChange;

/**
 * Decides whether the trial environment has met its objectives long enough for its document to be promoted. Stateless
 * and thread-safe.
 */
public final class PromotionGate {
    /** The prefix of the summary of every change to the document. */
    public static final String DOCUMENT_SUMMARY = "document";

    private static final double MAX_BURN_RATE = 1;
    private static final double PERCENT = 100;

    private PromotionGate() {}

    /**
     * Returns the reasons against promoting the trial environment's document; empty if it may be promoted.
     *
     * @param samples the samples of the trial environment's routers
     * @param window how long the trial environment must have met its objectives
     * @param history the configuration changes of the trial environment, newest first
     * @param nowEpochMillis the current time, in milliseconds since the epoch
     */
    public static List<String> reasonsAgainst(
            Collection<RouterSample> samples,
            BurnWindow window,
            List<ConfigurationChange> history,
            long nowEpochMillis) {
        List<String> reasons = new ArrayList<>();
        addDocumentAge(reasons, window, history, nowEpochMillis);
        long oldest = nowEpochMillis - window.lengthMillis() - window.toleranceMillis();
        List<RouterSample> recent = samples.stream()
                .filter(sample -> sample.atEpochMillis() >= oldest)
                .toList();
        addBurn(reasons, BurnArithmetic.report(recent, List.of(window), CountFrom.FIRST_SAMPLE), window);
        return reasons;
    }

    private static void addDocumentAge(
            List<String> reasons, BurnWindow window, List<ConfigurationChange> history, long nowEpochMillis) {
        history.stream()
                .filter(change -> change.summary().startsWith(DOCUMENT_SUMMARY))
                .findFirst()
                .filter(change -> change.atEpochMillis() > nowEpochMillis - window.lengthMillis())
                .ifPresent(change -> reasons.add("trial's document changed at revision %d, less than %s ago"
                        .formatted(change.revision(), window.name())));
    }

    private static void addBurn(List<String> reasons, BurnReport report, BurnWindow window) {
        report.invariantsBroken()
                .forEach((promise, count) -> reasons.add("trial broke the invariant '%s' %.0f times in the last %s"
                        .formatted(promise, count, window.name())));
        List<KindBurn> kinds = report.kinds();
        if (kinds.stream().noneMatch(kind -> kind.windows().get(0).isKnown())) {
            reasons.add("samples of trial don't reach back over %s".formatted(window.name()));
            return;
        }
        if (kinds.stream().allMatch(kind -> total(kind.windows().get(0)) == 0)) {
            reasons.add("trial ran no request in the last %s".formatted(window.name()));
        }
        kinds.stream()
                .filter(kind -> kind.windows().get(0).burnRate() > MAX_BURN_RATE)
                .forEach(kind -> reasons.add(missedObjective(kind, window)));
    }

    private static String missedObjective(KindBurn kind, BurnWindow window) {
        WindowBurn burn = kind.windows().get(0);
        return String.format(
                Locale.ROOT,
                "trial missed the objective of %s: %.3f%% good in the last %s, objective %s%%",
                kind.fullName(),
                PERCENT * burn.goodCount() / total(burn),
                window.name(),
                kind.goodPercent());
    }

    private static double total(WindowBurn burn) {
        return burn.goodCount() + burn.badCount();
    }
}
