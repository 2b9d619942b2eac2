package org.daisyscale.cli.internal.burn;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.daisyscale.cli.internal.burn.MetricsText.Measurement;

/** Converts a router's metrics to a sample. Stateless and thread-safe. */
public final class MetricsReader {
    private static final String PREFIX = "daisyscale_";
    private static final String GOOD = "daisyscale_requests_good_total";
    private static final String BAD = "daisyscale_requests_bad_total";
    private static final String GOOD_RATIO = "daisyscale_objective_good_ratio";
    private static final String LATENCY = "daisyscale_objective_latency_seconds";
    private static final String INVARIANTS = "daisyscale_invariants_broken_total";

    private MetricsReader() {}

    /**
     * Returns the sample in {@code metricsText}, which {@code router} returned at {@code atEpochMillis} (milliseconds
     * since the epoch).
     */
    public static RouterSample read(long atEpochMillis, String router, String metricsText) {
        List<Measurement> measurements = MetricsText.read(metricsText, PREFIX);
        Map<String, Double> invariants = measurements.stream()
                .filter(measurement -> measurement.name().equals(INVARIANTS))
                .collect(Collectors.toMap(
                        measurement -> measurement.label("promise"), Measurement::value, Double::sum, TreeMap::new));
        return new RouterSample(atEpochMillis, router, kinds(measurements), invariants);
    }

    private static List<KindCount> kinds(List<Measurement> measurements) {
        Map<List<String>, Map<String, Double>> valuesByKind = new TreeMap<>(Comparator.comparing(List::toString));
        for (Measurement measurement : measurements) {
            List<String> kind = List.of(measurement.label("service"), measurement.label("kind"));
            valuesByKind
                    .computeIfAbsent(kind, key -> new TreeMap<>())
                    .merge(measurement.name(), measurement.value(), Double::sum);
        }
        List<KindCount> kinds = new ArrayList<>();
        valuesByKind.forEach((kind, values) -> {
            if (values.containsKey(GOOD_RATIO)) {
                kinds.add(count(kind, values));
            }
        });
        return kinds;
    }

    private static KindCount count(List<String> kind, Map<String, Double> values) {
        return new KindCount(
                kind.get(0),
                kind.get(1),
                values.getOrDefault(GOOD, 0.0),
                values.getOrDefault(BAD, 0.0),
                values.get(GOOD_RATIO),
                values.getOrDefault(LATENCY, 0.0));
    }
}
