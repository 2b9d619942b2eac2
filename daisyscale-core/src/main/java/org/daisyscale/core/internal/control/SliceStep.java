package org.daisyscale.core.internal.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.daisyscale.core.Moment;
import org.daisyscale.core.document.ServicePolicy;
import org.daisyscale.core.internal.configuration.ConfigurationTracker;
import org.daisyscale.core.ownership.KeyHash;
import org.daisyscale.core.ownership.OwnershipMap;
import org.daisyscale.core.ownership.SliceAssignment;

/**
 * Assigns each slice of the exclusive services to a backend server: evenly at first, later away from servers that are
 * lost, leaving, drained, or in a data centre taken out. Not thread-safe; confined to the core thread.
 */
final class SliceStep implements PlanStep {
    static final Comparator<SliceAssignment> BY_SERVICE_AND_START =
            Comparator.comparing(SliceAssignment::service).thenComparingLong(SliceAssignment::startHash);

    private final ConfigurationTracker configuration;
    private final UsableServers usableServers;

    SliceStep(ConfigurationTracker configuration, UsableServers usableServers) {
        this.configuration = configuration;
        this.usableServers = usableServers;
    }

    @Override
    public OwnershipMap plan(OwnershipMap map, Moment now) {
        List<SliceAssignment> planned = new ArrayList<>();
        List<ServicePolicy> services = configuration.policies().services();
        Map<String, List<SliceAssignment>> slicesByService =
                map.slices().stream().collect(Collectors.groupingBy(SliceAssignment::service));
        for (ServicePolicy service : services) {
            if (service.isExclusive()) {
                List<SliceAssignment> slices = slicesByService.remove(service.name());
                planned.addAll(planService(service, slices == null ? List.of() : slices, map.version() + 1, now));
            }
        }
        slicesByService.values().forEach(planned::addAll);
        planned.sort(BY_SERVICE_AND_START);
        return MapEdits.withSlices(map, planned);
    }

    private List<SliceAssignment> planService(
            ServicePolicy service, List<SliceAssignment> slices, long epoch, Moment now) {
        Map<String, Integer> sliceCountByServer = new TreeMap<>();
        usableServers.of(service.name(), now).forEach(server -> sliceCountByServer.put(server, 0));
        if (sliceCountByServer.isEmpty()) {
            return slices;
        }
        List<SliceAssignment> current = slices.isEmpty() ? unownedSlices(service) : slices;
        current.forEach(slice -> sliceCountByServer.computeIfPresent(slice.server(), (id, count) -> count + 1));
        List<SliceAssignment> planned = new ArrayList<>();
        for (SliceAssignment slice : current) {
            planned.add(keepOrMove(slice, sliceCountByServer, epoch));
        }
        return planned;
    }

    private static List<SliceAssignment> unownedSlices(ServicePolicy service) {
        List<SliceAssignment> slices = new ArrayList<>();
        long count = service.sliceCount();
        for (long index = 0; index < count; index++) {
            long start = KeyHash.SPACE * index / count;
            long end = KeyHash.SPACE * (index + 1) / count;
            slices.add(new SliceAssignment(service.name(), start, end, "", 0, ""));
        }
        return slices;
    }

    private static SliceAssignment keepOrMove(
            SliceAssignment slice, Map<String, Integer> sliceCountByServer, long epoch) {
        if (sliceCountByServer.containsKey(slice.server())) {
            return slice;
        }
        Optional<String> target = sliceCountByServer.entrySet().stream()
                .min(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey);
        String server = target.orElseThrow();
        sliceCountByServer.merge(server, 1, Integer::sum);
        return new SliceAssignment(
                slice.service(), slice.startHash(), slice.endHash(), server, epoch, lastActiveServer(slice));
    }

    /**
     * Returns the last server that may still hold a grant. The server of an unsettled assignment has never received
     * one.
     */
    private static String lastActiveServer(SliceAssignment slice) {
        return slice.predecessor().isEmpty() ? slice.server() : slice.predecessor();
    }
}
