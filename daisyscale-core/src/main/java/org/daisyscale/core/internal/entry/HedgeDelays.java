package org.daisyscale.core.internal.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.HdrHistogram.Histogram;
import org.daisyscale.core.document.RequestKind;

/**
 * Computes the delays after which a request is hedged: the percentile, set per kind, of the recent service times.
 * Slower requests are rare enough to be worth the cost of a hedge. Not thread-safe; confined to the core thread.
 */
final class HedgeDelays {
    private static final long MAX_MICROS = 60_000_000L;
    private static final int SIGNIFICANT_DIGITS = 2;
    private static final int UPDATE_INTERVAL_COUNT = 100;
    private static final int RESET_COUNT = 2_000;

    private final Map<String, RecentTimes> timesByKind = new HashMap<>();

    void add(String service, RequestKind kind, long serviceMicros) {
        if (kind.hedgePercentile() > 0) {
            timesByKind
                    .computeIfAbsent(service + "/" + kind.name(), created -> new RecentTimes())
                    .add(serviceMicros, kind.hedgePercentile());
        }
    }

    /** Returns the delay before a hedge, in microseconds; empty with too few samples or for a kind without hedging. */
    OptionalLong delayMicros(String service, RequestKind kind) {
        RecentTimes times = timesByKind.get(service + "/" + kind.name());
        return times == null ? OptionalLong.empty() : times.delayMicros;
    }

    private static final class RecentTimes {
        private final Histogram histogram = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
        private OptionalLong delayMicros = OptionalLong.empty();

        private void add(long serviceMicros, int percentile) {
            histogram.recordValue(Math.min(MAX_MICROS, Math.max(0, serviceMicros)));
            if (histogram.getTotalCount() % UPDATE_INTERVAL_COUNT == 0) {
                delayMicros = OptionalLong.of(histogram.getValueAtPercentile(percentile));
            }
            if (histogram.getTotalCount() >= RESET_COUNT) {
                histogram.reset();
            }
        }
    }
}
