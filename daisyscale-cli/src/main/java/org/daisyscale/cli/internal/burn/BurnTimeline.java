package org.daisyscale.cli.internal.burn;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The burn rate of one kind over time. Immutable.
 *
 * @param fullName the kind's full name
 * @param points the burn rate in each interval between samples that had requests, oldest first
 */
public record BurnTimeline(String fullName, List<Point> points) {
    private static final int MAX_INTERVALS = 300;

    public BurnTimeline {
        points = List.copyOf(points);
    }

    /**
     * The burn rate of one interval. Immutable.
     *
     * @param atEpochMillis the interval's end, in milliseconds since the epoch
     * @param burnRate the burn rate
     */
    public record Point(long atEpochMillis, double burnRate) {}

    /** Returns the timeline of each kind in {@code samples}. Merges intervals so that their number stays bounded. */
    public static List<BurnTimeline> of(Collection<RouterSample> samples) {
        List<Long> times = intervalEnds(samples);
        Map<String, List<RouterSample>> samplesByRouter = samples.stream()
                .sorted(Comparator.comparingLong(RouterSample::atEpochMillis))
                .collect(Collectors.groupingBy(RouterSample::router));
        Map<String, KindCount> kinds = new TreeMap<>();
        samples.forEach(sample -> sample.kinds().forEach(kind -> kinds.put(kind.fullName(), kind)));
        return kinds.values().stream()
                .map(kind -> new BurnTimeline(kind.fullName(), points(kind, times, samplesByRouter.values())))
                .toList();
    }

    private static List<Long> intervalEnds(Collection<RouterSample> samples) {
        List<Long> times = new ArrayList<>(
                samples.stream().map(RouterSample::atEpochMillis).collect(Collectors.toCollection(TreeSet::new)));
        int stride = 1 + times.size() / MAX_INTERVALS;
        List<Long> ends = new ArrayList<>();
        for (int i = times.size() - 1; i >= 0; i -= stride) {
            ends.add(0, times.get(i));
        }
        return ends;
    }

    private static List<Point> points(
            KindCount kind, List<Long> times, Collection<List<RouterSample>> samplesByRouter) {
        List<RouterSeries> series = samplesByRouter.stream()
                .map(samples -> RouterSeries.of(samples, kind))
                .toList();
        List<Point> points = new ArrayList<>();
        for (int i = 1; i < times.size(); i++) {
            double goodCount = increase(series, RouterSeries::good, times.get(i - 1), times.get(i));
            double badCount = increase(series, RouterSeries::bad, times.get(i - 1), times.get(i));
            if (goodCount + badCount > 0) {
                points.add(new Point(times.get(i), BurnArithmetic.burnRate(goodCount, badCount, kind.goodRatio())));
            }
        }
        return points;
    }

    private static double increase(
            List<RouterSeries> series,
            Function<RouterSeries, CounterSeries> counter,
            long fromEpochMillis,
            long toEpochMillis) {
        return series.stream()
                .map(counter)
                .mapToDouble(each -> each.increase(fromEpochMillis, toEpochMillis))
                .sum();
    }
}
