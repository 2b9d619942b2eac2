package org.daisyscale.testkit.capacity;

import java.util.Map;
import java.util.TreeMap;
import org.daisyscale.core.Event;

/** Sums the time that a core spends on each kind of event. Not safe for several threads. */
final class EventTimes {
    private static final double NANOS_PER_MICRO = 1e3;

    private final Map<String, Sum> sumByKind = new TreeMap<>();

    void note(Event event, long tookNanos) {
        sumByKind.merge(kind(event), new Sum(1, tookNanos), Sum::plus);
    }

    private static String kind(Event event) {
        return event instanceof Event.PeerMessageReceived received
                ? received.message().getClass().getSimpleName()
                : event.getClass().getSimpleName();
    }

    void clear() {
        sumByKind.clear();
    }

    double totalMicros() {
        return sumByKind.values().stream().mapToLong(Sum::nanos).sum() / NANOS_PER_MICRO;
    }

    /** The mean time of each kind of event, in microseconds. */
    Map<String, Double> meanMicros() {
        Map<String, Double> means = new TreeMap<>();
        sumByKind.forEach((kind, sum) -> means.put(kind, sum.nanos() / NANOS_PER_MICRO / sum.count()));
        return means;
    }

    private record Sum(long count, long nanos) {
        Sum plus(Sum other) {
            return new Sum(count + other.count, nanos + other.nanos);
        }
    }
}
