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
 * Remembers which routes the last versions of the configuration touched, so that a change from any of them to the
 * newest can be told without the whole table. Used by one thread.
 */
public final class RoutingTableHistory {
    /** The most routes that the remembered steps touched: with every router told at once, a few kilobytes each. */
    public static final int MAX_TOUCHED_ROUTES = 24;

    private final Deque<Step> steps = new ArrayDeque<>();
    private RoutingTable newest;
    private int touchedCount;

    /** Remembers {@code table}, unless it is as old as the newest; one whose routes share a name begins anew. */
    public void add(RoutingTable table) {
        if (newest != null && table.version() <= newest.version()) {
            return;
        }
        if (newest == null || !areNamesUnique(table) || !areNamesUnique(newest)) {
            steps.clear();
            touchedCount = 0;
        } else {
            remember(new Step(newest.version(), touched(newest, table)));
        }
        newest = table;
    }

    private void remember(Step step) {
        steps.addLast(step);
        touchedCount += step.touched().size();
        while (touchedCount > MAX_TOUCHED_ROUTES) {
            touchedCount -= steps.removeFirst().touched().size();
        }
    }

    /** The change that leads to the newest version from each remembered one; there must be a newest one. */
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
