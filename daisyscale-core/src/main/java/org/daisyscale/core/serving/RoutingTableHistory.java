package org.daisyscale.core.serving;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Records which routes the last versions of the configuration touched, so that a change from any of them to the newest
 * version can be sent without the whole table. Not thread-safe; confined to one thread.
 */
public final class RoutingTableHistory {
    /** Maximum number of touched routes in all steps; every router gets a change at once, a few kilobytes for each. */
    public static final int MAX_TOUCHED_ROUTES = 24;

    private final Deque<Step> steps = new ArrayDeque<>();
    private RoutingTable newest;
    private int touchedCount;

    /**
     * Records {@code table} unless it is no newer than the newest recorded one. If two routes of either table share a
     * name, the earlier steps are discarded.
     */
    public void add(RoutingTable table) {
        if (newest != null && table.version() <= newest.version()) {
            return;
        }
        if (newest == null || !areNamesUnique(table) || !areNamesUnique(newest)) {
            steps.clear();
            touchedCount = 0;
        } else {
            recordStep(new Step(newest.version(), touched(newest, table)));
        }
        newest = table;
    }

    private void recordStep(Step step) {
        steps.addLast(step);
        touchedCount += step.touched().size();
        while (touchedCount > MAX_TOUCHED_ROUTES) {
            touchedCount -= steps.removeFirst().touched().size();
        }
    }

    /** Returns the change from each recorded version to the newest one; at least one table must have been added. */
    public RoutingTableChange change() {
        Set<Long> fromVersions = new HashSet<>(Set.of(newest.version()));
        Set<String> touched = new HashSet<>();
        for (Step step : steps) {
            fromVersions.add(step.fromVersion());
            touched.addAll(step.touched());
        }
        Set<String> removed = new HashSet<>(touched);
        List<Route> changed = newest.routes().stream()
                .filter(route -> removed.remove(route.name()))
                .toList();
        return new RoutingTableChange(
                fromVersions, newest.version(), changed, removed, newest.services(), newest.limits());
    }

    private static boolean areNamesUnique(RoutingTable table) {
        return table.routes().stream().map(Route::name).distinct().count()
                == table.routes().size();
    }

    private static Set<String> touched(RoutingTable older, RoutingTable newer) {
        Map<String, Route> olderByName =
                older.routes().stream().collect(Collectors.toMap(Route::name, Function.identity()));
        Map<String, Route> newerByName =
                newer.routes().stream().collect(Collectors.toMap(Route::name, Function.identity()));
        Set<String> names = new HashSet<>(olderByName.keySet());
        names.addAll(newerByName.keySet());
        names.removeIf(name -> Objects.equals(olderByName.get(name), newerByName.get(name)));
        return names;
    }

    /**
     * One step to a newer version. Immutable.
     *
     * @param fromVersion the version before it
     * @param touched the names of the routes that it added, changed or removed
     */
    private record Step(long fromVersion, Set<String> touched) {}
}
