package org.daisyscale.core.internal.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.daisyscale.core.Moment;
import org.daisyscale.core.TimingSettings;
import org.daisyscale.core.document.ServicePolicy;
import org.daisyscale.core.internal.configuration.ConfigurationTracker;
import org.daisyscale.core.internal.membership.Roster;
import org.daisyscale.core.internal.ownership.RangeKey;
import org.daisyscale.core.internal.ownership.Witness;
import org.daisyscale.core.membership.VmRecord;
import org.daisyscale.core.ownership.OwnershipMap;
import org.daisyscale.core.ownership.RangeAssignment;

/**
 * Assigns each dispatch range to a reachable router, spreads the ranges evenly, and moves the ranges of routers that
 * are lost, stopping, cut off from all their servers, or in a data centre taken out. The controller dispatches only if
 * it is the only candidate, so that the loss of one router does not remove controller and dispatcher at once. Not
 * thread-safe; confined to the core thread.
 */
final class RangeStep implements PlanStep {
    private static final long MIN_MOVE_INTERVAL_NANOS = 10_000_000_000L;

    private final String routerId;
    private final TimingSettings timing;
    private final FleetReports reports;
    private final Map<RangeKey, Long> lastMoveNanosByRange = new TreeMap<>();
    private final Roster roster;
    private final Witness witness;
    private final ConfigurationTracker configuration;

    RangeStep(
            String routerId,
            TimingSettings timing,
            Roster roster,
            Witness witness,
            ConfigurationTracker configuration,
            FleetReports reports) {
        this.routerId = routerId;
        this.timing = timing;
        this.reports = reports;
        this.roster = roster;
        this.witness = witness;
        this.configuration = configuration;
    }

    @Override
    public OwnershipMap plan(OwnershipMap map, Moment now) {
        Map<RangeKey, RangeAssignment> planned = new TreeMap<>();
        map.ranges().forEach(range -> planned.put(RangeKey.of(range), range));
        List<String> candidates = candidates(now);
        for (RangeKey key : configuredRanges()) {
            RangeAssignment current = planned.get(key);
            boolean isMisplaced = current != null && isMisplaced(key, current, candidates, now);
            if (current == null || isMisplaced || !candidates.contains(current.router())) {
                assign(key, current, isMisplaced ? without(candidates, current.router()) : candidates, planned, map);
            }
        }
        return MapEdits.withRanges(map, List.copyOf(planned.values()));
    }

    /**
     * Returns whether another router should dispatch the range: its dispatcher reports all servers of the range as
     * silent, or is the controller. Records the time of such a move; a move takes time, so they are at least {@link
     * #MIN_MOVE_INTERVAL_NANOS} apart for each range.
     */
    private boolean isMisplaced(RangeKey key, RangeAssignment current, List<String> candidates, Moment now) {
        Long movedNanos = lastMoveNanosByRange.get(key);
        boolean isMovedRecently = movedNanos != null && now.nanos() - movedNanos < MIN_MOVE_INTERVAL_NANOS;
        if (isMovedRecently
                || !current.isSettled()
                || without(candidates, current.router()).isEmpty()) {
            return false;
        }
        boolean isCutOffFromServers = reports.areAllServersSilent(key, timing.silenceLimitMillis(), now);
        boolean isAtController = current.router().equals(routerId);
        if (isCutOffFromServers || isAtController) {
            lastMoveNanosByRange.put(key, now.nanos());
        }
        return isCutOffFromServers || isAtController;
    }

    private static List<String> without(List<String> routers, String router) {
        return routers.stream().filter(other -> !other.equals(router)).toList();
    }

    private List<RangeKey> configuredRanges() {
        List<RangeKey> wanted = new ArrayList<>();
        for (ServicePolicy service : configuration.policies().services()) {
            for (int range = 0; range < service.dispatchRangeCount(); range++) {
                wanted.add(new RangeKey(service.name(), range));
            }
        }
        return wanted;
    }

    private List<String> candidates(Moment now) {
        List<String> routers = new ArrayList<>(roster.peers());
        routers.add(routerId);
        List<String> heard = routers.stream()
                .filter(router -> witness.isHeard(router, now) && !witness.isStopping(router))
                .sorted()
                .toList();
        List<String> notTakenOut =
                heard.stream().filter(router -> !isOut(router)).toList();
        return notTakenOut.isEmpty() ? heard : notTakenOut;
    }

    private boolean isOut(String router) {
        return roster.router(router)
                .map(VmRecord::dataCentre)
                .filter(configuration.dataCentresOut()::contains)
                .isPresent();
    }

    private void assign(
            RangeKey key,
            RangeAssignment current,
            List<String> candidates,
            Map<RangeKey, RangeAssignment> planned,
            OwnershipMap map) {
        long epoch = map.version() + 1;
        List<String> others = without(candidates, routerId);
        Optional<String> router = leastLoaded(others.isEmpty() ? candidates : others, planned);
        if (router.isPresent()) {
            String predecessor = current == null ? "" : lastActiveRouter(current);
            long firstEpoch = current == null ? epoch : current.firstEpoch();
            planned.put(
                    key, new RangeAssignment(key.service(), key.range(), router.get(), epoch, firstEpoch, predecessor));
        }
    }

    /**
     * Returns the last router that may still dispatch the range. The router of an unsettled assignment has never
     * dispatched.
     */
    private static String lastActiveRouter(RangeAssignment current) {
        return current.isSettled() ? current.router() : current.predecessor();
    }

    private static Optional<String> leastLoaded(List<String> candidates, Map<RangeKey, RangeAssignment> planned) {
        return candidates.stream()
                .min(Comparator.comparingLong(router -> planned.values().stream()
                        .filter(range -> range.router().equals(router))
                        .count()));
    }
}
