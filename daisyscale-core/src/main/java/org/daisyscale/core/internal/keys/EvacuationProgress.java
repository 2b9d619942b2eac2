package org.daisyscale.core.internal.keys;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.daisyscale.core.keys.KeyAction;
import org.daisyscale.core.keys.KeyAction.EvacuationChanged.State;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;
import org.daisyscale.core.serving.KeyMap;

/**
 * Follows how the keys of one service leave the evacuated data centres. A range counts as there until an owner
 * elsewhere holds its grant. Decides nothing.
 *
 * <p>Not thread-safe; confined to the core thread.
 */
final class EvacuationProgress {
    private final String service;
    private final ServerRegistry registry;
    private final RangeCallCoordinator calls;
    private final Map<String, Emptying> emptyingByDataCentre = new TreeMap<>();
    /** Owners in evacuated data centres; some are no longer registered. */
    private final Map<Owner, String> dataCentreByOwner = new HashMap<>();

    EvacuationProgress(String service, ServerRegistry registry, RangeCallCoordinator calls) {
        this.service = service;
        this.registry = registry;
        this.calls = calls;
    }

    /** Reports what changed since the last call. */
    void report(KeyMap map, List<KeyAction> actions, long nowNanos) {
        Set<String> evacuated = registry.evacuatedDataCentres();
        if (evacuated.isEmpty() && emptyingByDataCentre.isEmpty()) {
            return;
        }
        Map<String, Integer> rangesByDataCentre = countRanges(map, evacuated);
        Set<String> dataCentres = new TreeSet<>(rangesByDataCentre.keySet());
        dataCentres.addAll(emptyingByDataCentre.keySet());
        for (String dataCentre : dataCentres) {
            int ranges = rangesByDataCentre.getOrDefault(dataCentre, 0);
            report(dataCentre, ranges, evacuated.contains(dataCentre), actions, nowNanos);
        }
    }

    private void report(String dataCentre, int ranges, boolean isEvacuated, List<KeyAction> actions, long nowNanos) {
        Emptying before = emptyingByDataCentre.get(dataCentre);
        if (!isEvacuated) {
            emptyingByDataCentre.remove(dataCentre);
            actions.add(changed(dataCentre, State.ABANDONED, before, nowNanos));
        } else if (before == null) {
            Emptying started = new Emptying(registry.evacuationLearnedNanos(dataCentre), ranges, ranges);
            emptyingByDataCentre.put(dataCentre, started);
            actions.add(changed(dataCentre, State.STARTED, started, nowNanos));
        } else if (ranges == 0) {
            emptyingByDataCentre.remove(dataCentre);
            actions.add(changed(dataCentre, State.COMPLETED, before.withRanges(0), nowNanos));
        } else if (ranges != before.ranges()) {
            emptyingByDataCentre.put(dataCentre, before.withRanges(ranges));
            actions.add(changed(dataCentre, State.UNDER_WAY, before.withRanges(ranges), nowNanos));
        }
    }

    /** Reports that this controller no longer knows about the data centres that it was emptying. */
    void abandon(List<KeyAction> actions, long nowNanos) {
        emptyingByDataCentre.forEach(
                (dataCentre, emptying) -> actions.add(changed(dataCentre, State.ABANDONED, emptying, nowNanos)));
        emptyingByDataCentre.clear();
        dataCentreByOwner.clear();
    }

    private KeyAction changed(String dataCentre, State state, Emptying emptying, long nowNanos) {
        return new KeyAction.EvacuationChanged(
                service,
                dataCentre,
                state,
                emptying.firstRanges(),
                emptying.ranges(),
                (nowNanos - emptying.sinceNanos()) / 1_000_000L);
    }

    private Map<String, Integer> countRanges(KeyMap map, Set<String> evacuated) {
        Map<String, Integer> rangesByDataCentre = new HashMap<>();
        Map<Owner, String> found = new HashMap<>();
        for (KeyAssignment assignment : map.assignments()) {
            Set<String> dataCentres = new HashSet<>();
            holders(assignment).forEach(owner -> {
                String dataCentre = registry.dataCentre(owner).orElse(dataCentreByOwner.get(owner));
                if (dataCentre != null && evacuated.contains(dataCentre)) {
                    found.put(owner, dataCentre);
                    dataCentres.add(dataCentre);
                }
            });
            dataCentres.forEach(dataCentre -> rangesByDataCentre.merge(dataCentre, 1, Integer::sum));
        }
        dataCentreByOwner.clear();
        dataCentreByOwner.putAll(found);
        return rangesByDataCentre;
    }

    private Stream<Owner> holders(KeyAssignment assignment) {
        boolean hasMoved = assignment.isSettled() || calls.isGranted(assignment);
        Stream<Owner> predecessors = hasMoved ? Stream.empty() : assignment.predecessors().stream();
        return Stream.concat(Stream.of(assignment.owner()), predecessors);
    }

    /**
     * A data centre that is being emptied. Immutable.
     *
     * @param sinceNanos when this process learned of the evacuation, in nanoseconds of the monotonic clock
     * @param firstRanges the ranges that were there when this controller began
     * @param ranges the ranges that are there now
     */
    private record Emptying(long sinceNanos, int firstRanges, int ranges) {

        private Emptying withRanges(int newRanges) {
            return new Emptying(sinceNanos, firstRanges, newRanges);
        }
    }
}
