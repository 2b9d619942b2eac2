package org.daisyscale.core.internal.control;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.daisyscale.core.ownership.KeyHash;
import org.daisyscale.core.ownership.SliceAssignment;

/**
 * Computes the load of an exclusive service's slices and backend servers, in microseconds of service time per second.
 * Adds to the measured load of a slice a small load in proportion to its width, so that the slices of idle services
 * are spread too. Not thread-safe; confined to the core thread.
 */
final class ServiceLoad {
    private static final double WIDTH_WEIGHT = 0.01;
    private static final double MIN_TOTAL_MICROS = 1;

    private final Map<Long, Double> measuredMicrosByStart;
    private final double totalMicros;
    private final Map<String, Double> microsByServer = new TreeMap<>();

    /** Sums the load of {@code slices} for each of {@code servers}; slices of other servers are ignored. */
    ServiceLoad(List<SliceAssignment> slices, Collection<String> servers, Map<Long, Double> measuredMicrosByStart) {
        this.measuredMicrosByStart = measuredMicrosByStart;
        this.totalMicros = MIN_TOTAL_MICROS
                + measuredMicrosByStart.values().stream()
                        .mapToDouble(Double::doubleValue)
                        .sum();
        servers.forEach(server -> microsByServer.put(server, 0.0));
        slices.forEach(
                slice -> microsByServer.computeIfPresent(slice.server(), (server, micros) -> micros + micros(slice)));
    }

    /** Returns the load of {@code slice}. */
    double micros(SliceAssignment slice) {
        double width = (double) (slice.endHash() - slice.startHash()) / KeyHash.SPACE;
        double measured = measuredMicrosByStart.getOrDefault(slice.startHash(), 0.0);
        return measured + width * totalMicros * WIDTH_WEIGHT;
    }

    double meanMicros() {
        return microsByServer.values().stream()
                .mapToDouble(Double::doubleValue)
                .average()
                .orElse(0);
    }

    double micros(String server) {
        return microsByServer.getOrDefault(server, 0.0);
    }

    Optional<String> mostLoaded() {
        return microsByServer.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey);
    }

    Optional<String> leastLoaded() {
        return microsByServer.entrySet().stream()
                .min(Map.Entry.comparingByValue(Comparator.naturalOrder()))
                .map(Map.Entry::getKey);
    }

    /** Returns the ratio of the highest server load to the mean server load. */
    double imbalance() {
        double mean = meanMicros();
        return mostLoaded().map(this::micros).orElse(0.0) / Math.max(mean, Double.MIN_NORMAL);
    }

    /** Moves the load of {@code slice} from its current server to {@code newServer}. */
    void move(SliceAssignment slice, String newServer) {
        microsByServer.merge(slice.server(), -micros(slice), Double::sum);
        microsByServer.merge(newServer, micros(slice), Double::sum);
    }
}
