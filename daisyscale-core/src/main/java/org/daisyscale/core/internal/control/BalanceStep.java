package org.daisyscale.core.internal.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.daisyscale.core.Moment;
import org.daisyscale.core.document.ServicePolicy;
import org.daisyscale.core.internal.configuration.ConfigurationTracker;
import org.daisyscale.core.ownership.OwnershipMap;
import org.daisyscale.core.ownership.SliceAssignment;

/**
 * Rebalances each exclusive service: moves slices from the most to the least loaded backend server, a few per round
 * and only while the imbalance is large or persistent. Splits a slice whose load is too high to move it as a whole,
 * and merges adjacent idle slices while the load is balanced. Invariant: a round moves at most {@link
 * #MAX_URGENT_MOVES} slices of a service. Not thread-safe; confined to the core thread.
 */
final class BalanceStep implements PlanStep {
    static final int MAX_MOVES = 8;
    static final int MAX_URGENT_MOVES = 32;
    private static final long ROUND_INTERVAL_NANOS = 2_000_000_000L;
    private static final double TOLERATED_IMBALANCE = 1.08;
    private static final double URGENT_IMBALANCE = 1.5;
    private static final int MAX_IMBALANCED_ROUNDS = 8;
    private static final double MIN_MOVED_LOAD_RATIO = 0.02;
    private static final double IDLE_LOAD_RATIO = 0.01;
    private static final int MAX_MERGES = 8;

    private final ConfigurationTracker configuration;
    private final UsableServers usableServers;
    private final FleetReports reports;
    private final Map<String, Long> lastRoundNanosByService = new HashMap<>();
    private final Map<String, Integer> imbalancedRoundsByService = new HashMap<>();

    BalanceStep(ConfigurationTracker configuration, UsableServers usableServers, FleetReports reports) {
        this.configuration = configuration;
        this.usableServers = usableServers;
        this.reports = reports;
    }

    @Override
    public OwnershipMap plan(OwnershipMap map, Moment now) {
        OwnershipMap planned = map;
        for (ServicePolicy service : configuration.policies().services()) {
            if (service.isExclusive() && isRoundDue(service.name(), now)) {
                planned = planService(planned, service, now);
            }
        }
        return planned;
    }

    private boolean isRoundDue(String service, Moment now) {
        long lastNanos = lastRoundNanosByService.computeIfAbsent(service, first -> now.nanos());
        return now.nanos() - lastNanos >= ROUND_INTERVAL_NANOS;
    }

    private OwnershipMap planService(OwnershipMap map, ServicePolicy service, Moment now) {
        lastRoundNanosByService.put(service.name(), now.nanos());
        List<SliceAssignment> slices = new ArrayList<>(slicesOf(map, service.name()));
        List<String> servers = usableServers.of(service.name(), now);
        boolean isEverySliceSettled = slices.stream().allMatch(SliceAssignment::isSettled);
        if (!isEverySliceSettled || servers.size() < 2) {
            return map;
        }
        ServiceLoad load = new ServiceLoad(slices, servers, reports.sliceMicros(service.name()));
        if (mustRebalance(service.name(), load)) {
            moveSlices(slices, load, reports.hotKeyMicros(service.name()), map.version() + 1);
        } else {
            mergeIdle(slices, load, 2 * service.sliceCount(), map.version() + 1);
        }
        return withSlicesOf(map, service.name(), slices);
    }

    private static List<SliceAssignment> slicesOf(OwnershipMap map, String service) {
        return map.slices().stream()
                .filter(slice -> slice.service().equals(service))
                .toList();
    }

    private static OwnershipMap withSlicesOf(OwnershipMap map, String service, List<SliceAssignment> slices) {
        List<SliceAssignment> all = new ArrayList<>(slices);
        map.slices().stream().filter(slice -> !slice.service().equals(service)).forEach(all::add);
        all.sort(SliceStep.BY_SERVICE_AND_START);
        return MapEdits.withSlices(map, all);
    }

    private boolean mustRebalance(String service, ServiceLoad load) {
        double imbalance = load.imbalance();
        int imbalancedRounds =
                imbalance > TOLERATED_IMBALANCE ? imbalancedRoundsByService.getOrDefault(service, 0) + 1 : 0;
        imbalancedRoundsByService.put(service, imbalancedRounds);
        return imbalance > URGENT_IMBALANCE || imbalancedRounds >= MAX_IMBALANCED_ROUNDS;
    }

    private static void moveSlices(
            List<SliceAssignment> slices, ServiceLoad load, Map<Long, Double> hotMicros, long epoch) {
        int maxMoves = load.imbalance() > URGENT_IMBALANCE ? MAX_URGENT_MOVES : MAX_MOVES;
        for (int move = 0; move < maxMoves && load.imbalance() > TOLERATED_IMBALANCE; move++) {
            String from = load.mostLoaded().orElseThrow();
            String to = load.leastLoaded().orElseThrow();
            double gap = load.micros(from) - load.micros(to);
            Optional<SliceAssignment> movable = findMovableSlice(slices, load, from, gap);
            if (movable.isEmpty()) {
                splitHottest(slices, load, from, gap, hotMicros);
                return;
            }
            load.move(movable.get(), to);
            replace(slices, movable.get(), List.of(withOwner(movable.get(), to, epoch)));
        }
    }

    /**
     * Returns the slice of {@code from} whose move narrows the gap the most. Skips slices with at least three quarters
     * of the gap, and slices whose load is too low for a move to pay off.
     */
    private static Optional<SliceAssignment> findMovableSlice(
            List<SliceAssignment> slices, ServiceLoad load, String from, double gap) {
        return slices.stream()
                .filter(slice -> slice.server().equals(from))
                .filter(slice -> load.micros(slice) < gap * 0.75)
                .filter(slice -> load.micros(slice) > load.meanMicros() * MIN_MOVED_LOAD_RATIO)
                .max(Comparator.comparingDouble(slice -> Math.min(load.micros(slice), gap - load.micros(slice))));
    }

    private static void splitHottest(
            List<SliceAssignment> slices, ServiceLoad load, String server, double gap, Map<Long, Double> hotMicros) {
        slices.stream()
                .filter(slice -> slice.server().equals(server) && load.micros(slice) >= gap / 2)
                .max(Comparator.comparingDouble(load::micros))
                .ifPresent(slice -> replace(slices, slice, SliceSplitter.split(slice, hotMicros)));
    }

    private static void replace(List<SliceAssignment> slices, SliceAssignment old, List<SliceAssignment> parts) {
        int index = slices.indexOf(old);
        slices.remove(index);
        slices.addAll(index, parts);
    }

    private static SliceAssignment withOwner(SliceAssignment slice, String server, long epoch) {
        return new SliceAssignment(slice.service(), slice.startHash(), slice.endHash(), server, epoch, slice.server());
    }

    private static void mergeIdle(List<SliceAssignment> slices, ServiceLoad load, int targetSliceCount, long epoch) {
        double idleMicros = load.meanMicros() * IDLE_LOAD_RATIO;
        int mergeCount = 0;
        for (int i = slices.size() - 1; i > 0 && slices.size() > targetSliceCount && mergeCount < MAX_MERGES; i--) {
            SliceAssignment left = slices.get(i - 1);
            SliceAssignment right = slices.get(i);
            boolean isIdle = load.micros(left) + load.micros(right) < idleMicros;
            if (isIdle && SliceSplitter.areMergeable(left, right)) {
                slices.set(i - 1, SliceSplitter.merge(left, right, epoch));
                slices.remove(i);
                mergeCount++;
            }
        }
    }
}
