package org.daisyscale.core.internal.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Keeps moving averages of the service times in one dispatch range, per kind of request. The window is a fixed number
 * of answers, so the slow answers of a cold start leave the average after that many answers. Not thread-safe; confined
 * to the core thread.
 */
final class ServiceTimes {
    private static final double INITIAL_MEAN_MICROS = 5_000;

    private final Map<String, SlidingWindow> windowByKind = new HashMap<>();
    private final SlidingWindow windowOfAllKinds = new SlidingWindow();

    void add(String kind, long serviceMicros) {
        windowByKind.computeIfAbsent(kind, created -> new SlidingWindow()).add(serviceMicros);
        windowOfAllKinds.add(serviceMicros);
    }

    /** Returns the mean of {@code kind}, in microseconds; before its first answer, the mean of all kinds. */
    double meanMicros(String kind) {
        SlidingWindow window = windowByKind.get(kind);
        return window == null ? meanMicros() : window.mean();
    }

    /** Returns the mean of all kinds, in microseconds; before the first answer, an initial estimate. */
    double meanMicros() {
        return windowOfAllKinds.mean();
    }

    /** A ring buffer of the latest service times with their sum. */
    private static final class SlidingWindow {
        private static final int CAPACITY = 64;

        private final long[] micros = new long[CAPACITY];
        private long sumMicros;
        private int count;
        private int next;

        void add(long serviceMicros) {
            sumMicros += serviceMicros - micros[next];
            micros[next] = serviceMicros;
            next = (next + 1) % CAPACITY;
            count = Math.min(CAPACITY, count + 1);
        }

        double mean() {
            return count == 0 ? INITIAL_MEAN_MICROS : (double) sumMicros / count;
        }
    }
}
