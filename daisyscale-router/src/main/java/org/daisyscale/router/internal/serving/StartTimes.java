package org.daisyscale.router.internal.serving;

import java.lang.management.ManagementFactory;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

/**
 * Records how long after the start of the process each step of the router's start was done for the first time.
 * Thread-safe.
 */
final class StartTimes {
    private final Map<StartStep, Long> millisByStep = new ConcurrentHashMap<>();
    private final LongSupplier uptimeMillis;

    /** Creates the times of this process. */
    StartTimes() {
        this(ManagementFactory.getRuntimeMXBean()::getUptime);
    }

    StartTimes(LongSupplier uptimeMillis) {
        this.uptimeMillis = uptimeMillis;
    }

    /** Records that {@code step} is done; only the first time counts. */
    void mark(StartStep step) {
        if (!millisByStep.containsKey(step)) {
            millisByStep.putIfAbsent(step, uptimeMillis.getAsLong());
        }
    }

    /** Passes each step that is done and its time in milliseconds to {@code consumer}. */
    void forEach(BiConsumer<StartStep, Long> consumer) {
        millisByStep.forEach(consumer);
    }
}
