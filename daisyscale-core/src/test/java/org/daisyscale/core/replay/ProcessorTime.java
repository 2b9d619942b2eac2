package org.daisyscale.core.replay;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.function.Supplier;

/** Adds up the processor time of calls in the thread that makes them. Not thread-safe. */
final class ProcessorTime {
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private long totalNanos;
    private long longestNanos;
    private int calls;

    <T> T measure(Supplier<T> call) {
        long startNanos = threads.getCurrentThreadCpuTime();
        T returned = call.get();
        long nanos = threads.getCurrentThreadCpuTime() - startNanos;
        totalNanos += nanos;
        longestNanos = Math.max(longestNanos, nanos);
        calls++;
        return returned;
    }

    void clear() {
        totalNanos = 0;
        longestNanos = 0;
        calls = 0;
    }

    double totalMillis() {
        return totalNanos / 1e6;
    }

    @Override
    public String toString() {
        return "%.0f ms in %d calls, longest %.1f ms".formatted(totalMillis(), calls, longestNanos / 1e6);
    }
}
