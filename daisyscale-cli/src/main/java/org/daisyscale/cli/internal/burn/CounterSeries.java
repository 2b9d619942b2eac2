package org.daisyscale.cli.internal.burn;

import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

/**
 * The values of one counter of one router over time. A value below the previous one means that the router's process
 * restarted and that the counter started again from zero. Immutable.
 */
final class CounterSeries {
    private final double firstValue;
    private final NavigableMap<Long, Double> totalsByEpochMillis = new TreeMap<>();

    /**
     * Creates a series over {@code samples}.
     *
     * @param samples the router's samples, oldest first; must not be empty
     * @param counter reads the counter from a sample; must return zero if the sample lacks it
     */
    CounterSeries(List<RouterSample> samples, ToDoubleFunction<RouterSample> counter) {
        firstValue = counter.applyAsDouble(samples.get(0));
        double previous = firstValue;
        double total = 0;
        for (RouterSample sample : samples) {
            double value = counter.applyAsDouble(sample);
            total += value < previous ? value : value - previous;
            previous = value;
            totalsByEpochMillis.put(sample.atEpochMillis(), total);
        }
    }

    /**
     * Returns the increase from the first sample at or after {@code fromEpochMillis} to the last sample at or before
     * {@code toEpochMillis}; zero if there are no such samples. Times are in milliseconds since the epoch.
     */
    double increase(long fromEpochMillis, long toEpochMillis) {
        Map.Entry<Long, Double> first = totalsByEpochMillis.ceilingEntry(fromEpochMillis);
        Map.Entry<Long, Double> last = totalsByEpochMillis.floorEntry(toEpochMillis);
        if (first == null || last == null || first.getKey() > last.getKey()) {
            return 0;
        }
        return last.getValue() - first.getValue();
    }

    /** Returns the counter's value in the first sample. */
    double firstValue() {
        return firstValue;
    }
}
