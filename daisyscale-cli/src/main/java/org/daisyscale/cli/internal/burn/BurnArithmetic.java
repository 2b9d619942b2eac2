package org.daisyscale.cli.internal.burn;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Computes the service-level burn from samples of routers, by summing the increase of each router's counters. Not
 * thread-safe.
 */
public final class BurnArithmetic {
    private static final double PERCENT = 100;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<String, List<RouterSample>> samplesByRouter;
    private final List<BurnWindow> windows;
    private final CountFrom countFrom;
    private final long fromEpochMillis;
    private final long toEpochMillis;
    private final Map<BurnWindow, Map<String, Long>> baselinesByWindow = new HashMap<>();
    private final List<String> notes = new ArrayList<>();

    private BurnArithmetic(Collection<RouterSample> samples, List<BurnWindow> windows, CountFrom countFrom) {
        this.countFrom = countFrom;
        this.windows = windows;
        this.samplesByRouter = samples.stream()
                .sorted(Comparator.comparingLong(RouterSample::atEpochMillis))
                .collect(Collectors.groupingBy(RouterSample::router, TreeMap::new, Collectors.toList()));
        this.fromEpochMillis =
                samples.stream().mapToLong(RouterSample::atEpochMillis).min().orElse(0);
        this.toEpochMillis =
                samples.stream().mapToLong(RouterSample::atEpochMillis).max().orElse(0);
    }

    /** Returns the burn over each of {@code windows}; every window ends at the newest sample. */
    public static BurnReport report(Collection<RouterSample> samples, List<BurnWindow> windows, CountFrom countFrom) {
        return new BurnArithmetic(samples, windows, countFrom).report();
    }

    private BurnReport report() {
        windows.forEach(this::recordCoverage);
        List<KindBurn> kinds = newestKinds().stream()
                .map(this::kindBurn)
                .sorted(Comparator.comparing(KindBurn::fullName))
                .toList();
        return new BurnReport(fromEpochMillis, toEpochMillis, kinds, invariantsBroken(), notes);
    }

    private void recordCoverage(BurnWindow window) {
        Map<String, Long> baselines = baselines(window);
        baselinesByWindow.put(window, baselines);
        List<String> uncovered = samplesByRouter.keySet().stream()
                .filter(router -> !baselines.containsKey(router))
                .toList();
        if (baselines.isEmpty()) {
            notes.add("the window %s can't be known: samples reach back %d s"
                    .formatted(window.name(), (long) ((toEpochMillis - fromEpochMillis) / MILLIS_PER_SECOND)));
        } else if (!uncovered.isEmpty()) {
            notes.add(
                    "the window %s lacks the first part of %s".formatted(window.name(), String.join(", ", uncovered)));
        }
    }

    /**
     * Returns the time of the sample nearest to the window's start for each router, in milliseconds since the epoch.
     * Routers without a sample within the window's tolerance are left out.
     */
    private Map<String, Long> baselines(BurnWindow window) {
        long start = toEpochMillis - window.lengthMillis();
        Map<String, Long> baselines = new HashMap<>();
        samplesByRouter.forEach((router, samples) -> samples.stream()
                .map(RouterSample::atEpochMillis)
                .min(Comparator.comparingLong(time -> Math.abs(time - start)))
                .filter(time -> Math.abs(time - start) <= window.toleranceMillis())
                .ifPresent(time -> baselines.put(router, time)));
        return baselines;
    }

    private Collection<KindCount> newestKinds() {
        Map<String, KindCount> newest = new TreeMap<>();
        samplesByRouter.values().stream()
                .flatMap(List::stream)
                .sorted(Comparator.comparingLong(RouterSample::atEpochMillis))
                .flatMap(sample -> sample.kinds().stream())
                .forEach(kind -> newest.put(kind.fullName(), kind));
        return newest.values();
    }

    private KindBurn kindBurn(KindCount newest) {
        List<RouterSeries> series = samplesByRouter.values().stream()
                .map(samples -> RouterSeries.of(samples, newest))
                .toList();
        double good = total(series.stream().map(RouterSeries::good));
        double bad = total(series.stream().map(RouterSeries::bad));
        double budgetLeft = PERCENT * (1 - burnRate(good, bad, newest.goodRatio()));
        return new KindBurn(
                newest.service(),
                newest.kind(),
                newest.goodRatio() * PERCENT,
                Math.round(newest.latencySeconds() * MILLIS_PER_SECOND),
                good,
                bad,
                budgetLeft,
                windows.stream()
                        .map(window -> windowBurn(series, newest.goodRatio(), window))
                        .toList());
    }

    private WindowBurn windowBurn(List<RouterSeries> series, double goodRatio, BurnWindow window) {
        Map<String, Long> baselines = baselinesByWindow.get(window);
        if (series.stream().noneMatch(each -> each.isCounting() && baselines.containsKey(each.router()))) {
            return WindowBurn.unknown(window.name());
        }
        double good = 0;
        double bad = 0;
        for (RouterSeries each : series) {
            long start = baselines.getOrDefault(each.router(), toEpochMillis - window.lengthMillis());
            good += each.good().increase(start, toEpochMillis);
            bad += each.bad().increase(start, toEpochMillis);
        }
        return new WindowBurn(window.name(), true, good, bad, burnRate(good, bad, goodRatio));
    }

    private double total(Stream<CounterSeries> series) {
        return series.mapToDouble(each -> each.increase(fromEpochMillis, toEpochMillis)
                        + (countFrom == CountFrom.PROCESS_START ? each.firstValue() : 0))
                .sum();
    }

    private Map<String, Double> invariantsBroken() {
        Map<String, Double> broken = new TreeMap<>();
        allSamples()
                .flatMap(sample -> sample.invariantsBroken().keySet().stream())
                .distinct()
                .forEach(promise -> broken.put(promise, broken(promise)));
        broken.values().removeIf(count -> count <= 0);
        return broken;
    }

    private double broken(String promise) {
        return total(samplesByRouter.values().stream()
                .map(samples -> new CounterSeries(
                        samples, sample -> sample.invariantsBroken().getOrDefault(promise, 0.0))));
    }

    private Stream<RouterSample> allSamples() {
        return samplesByRouter.values().stream().flatMap(List::stream);
    }

    /**
     * Returns the ratio of the bad requests to those that the objective allows; infinite if there are bad requests and
     * the objective allows none.
     */
    static double burnRate(double goodCount, double badCount, double goodRatio) {
        if (badCount == 0) {
            return 0;
        }
        double badRatio = badCount / (goodCount + badCount);
        return badRatio / (1 - goodRatio);
    }
}
