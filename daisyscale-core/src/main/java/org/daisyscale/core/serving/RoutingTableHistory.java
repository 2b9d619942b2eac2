package org.daisyscale.core.serving;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Records which routes and organisations the last versions of the configuration touched, so that a change from any of
 * them to the newest version can be sent without the whole table. Not thread-safe; confined to one thread.
 */
public final class RoutingTableHistory {
    /** Maximum number of touched routes and organisations in all steps that are remembered. */
    public static final int MAX_TOUCHED_ROUTES = 4_096;
    /** Maximum number of versions that are remembered; a version may touch no route. */
    public static final int MAX_STEPS = 512;

    private final Deque<Step> steps = new ArrayDeque<>();
    private RoutingTable newest;
    private long newestRevision;
    private long newestDigest;
    private int touchedCount;

    /**
     * Records {@code table} unless it is no newer than the newest recorded one. If two routes of either table share a
     * name, the earlier steps are discarded.
     *
     * @param revision the store's revision of the configuration that the table was read from
     */
    public void add(RoutingTable table, long revision) {
        if (newest != null && table.version() <= newest.version()) {
            return;
        }
        if (newest == null || !areNamesUnique(table) || !areNamesUnique(newest)) {
            steps.clear();
            touchedCount = 0;
        } else {
            recordStep(new Step(
                    newest.version(),
                    newestRevision,
                    touched(newest, table),
                    newest.organisations().namesThatDifferFrom(table.organisations())));
        }
        newest = table;
        newestRevision = revision;
        newestDigest = table.digest();
    }

    private void recordStep(Step step) {
        steps.addLast(step);
        touchedCount += step.touchedCount();
        while (touchedCount > MAX_TOUCHED_ROUTES || steps.size() > MAX_STEPS) {
            touchedCount -= steps.removeFirst().touchedCount();
        }
    }

    /**
     * Returns the change to the newest version from the version that was in the store at {@code heldRevision}; empty if
     * that one is not recorded, or if the change would hold more than half of the routes and organisations. At least
     * one table must have been added.
     */
    public Optional<RoutingTableChange> changeFrom(long heldRevision) {
        if (heldRevision >= newestRevision) {
            return Optional.of(change(Set.of(newest.version()), Set.of(), Set.of()));
        }
        Set<Long> fromVersions = new HashSet<>(Set.of(newest.version()));
        Set<String> touched = new HashSet<>();
        Set<String> touchedOrganisations = new HashSet<>();
        boolean isReached = false;
        for (Step step : newestFirst()) {
            if (!isReached) {
                fromVersions.add(step.fromVersion());
                touched.addAll(step.touched());
                touchedOrganisations.addAll(step.touchedOrganisations());
                isReached = step.fromRevision() <= heldRevision;
            }
        }
        int totalCount =
                newest.routes().size() + newest.organisations().byName().size();
        boolean isSmall = 2 * (touched.size() + touchedOrganisations.size()) <= totalCount;
        return isReached && isSmall
                ? Optional.of(change(fromVersions, touched, touchedOrganisations))
                : Optional.empty();
    }

    private List<Step> newestFirst() {
        List<Step> reversed = new ArrayList<>();
        steps.descendingIterator().forEachRemaining(reversed::add);
        return reversed;
    }

    private RoutingTableChange change(Set<Long> fromVersions, Set<String> touched, Set<String> touchedOrganisations) {
        Set<String> removed = new HashSet<>(touched);
        List<Route> changed = new ArrayList<>();
        List<Integer> positions = new ArrayList<>();
        for (int index = 0; index < newest.routes().size(); index++) {
            Route route = newest.routes().get(index);
            if (removed.remove(route.name())) {
                changed.add(route);
                positions.add(index);
            }
        }
        return new RoutingTableChange(
                fromVersions,
                newest.version(),
                changed,
                positions,
                removed,
                newest.services(),
                newest.limits(),
                newestDigest,
                newest.organisations().changeOf(touchedOrganisations));
    }

    private static boolean areNamesUnique(RoutingTable table) {
        return table.routes().stream().map(Route::name).distinct().count()
                == table.routes().size();
    }

    /** Returns the names of the routes that differ, and of all routes if the order of the others differs. */
    private static Set<String> touched(RoutingTable older, RoutingTable newer) {
        Map<String, Route> olderByName =
                older.routes().stream().collect(Collectors.toMap(Route::name, Function.identity()));
        Map<String, Route> newerByName =
                newer.routes().stream().collect(Collectors.toMap(Route::name, Function.identity()));
        Set<String> all = new HashSet<>(olderByName.keySet());
        all.addAll(newerByName.keySet());
        Set<String> touched = new HashSet<>(all);
        touched.removeIf(name -> Objects.equals(olderByName.get(name), newerByName.get(name)));
        return untouchedNames(older, touched).equals(untouchedNames(newer, touched)) ? touched : all;
    }

    private static List<String> untouchedNames(RoutingTable table, Set<String> touched) {
        return table.routes().stream()
                .map(Route::name)
                .filter(name -> !touched.contains(name))
                .toList();
    }

    /**
     * One step to a newer version. Immutable.
     *
     * @param fromVersion the version before it
     * @param fromRevision the store's revision of the version before it
     * @param touched the names of the routes that it added, changed, moved or removed
     * @param touchedOrganisations the names of the organisations that it added, changed or removed
     */
    private record Step(long fromVersion, long fromRevision, Set<String> touched, Set<String> touchedOrganisations) {

        int touchedCount() {
            return touched.size() + touchedOrganisations.size();
        }
    }
}
