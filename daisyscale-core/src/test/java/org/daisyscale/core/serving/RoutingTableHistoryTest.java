package org.daisyscale.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.LongStream;
import org.daisyscale.core.serving.Route.WeightedService;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** More seeds by hand: {@code -Drouting.history.seeds=50}. */
class RoutingTableHistoryTest {
    private static final RequestLimits LIMITS = new RequestLimits(16_384, 1_000_000, 3_000, 15_000);

    private final RoutingTableHistory history = new RoutingTableHistory();

    private static Route route(String name, long timeoutMillis) {
        return new Route(
                name, "h", "/" + name + "/", true, timeoutMillis, 500, 1, 2, List.of(new WeightedService("s", 1)));
    }

    /** Returns a table of {@code routes}, before routes that are the same in each table. */
    private static RoutingTable table(long version, Route... routes) {
        List<Route> all = new ArrayList<>(List.of(routes));
        for (int index = 0; index < 8; index++) {
            all.add(route("same-" + index, 10));
        }
        return new RoutingTable(version, all, Map.of(), LIMITS);
    }

    private RoutingTableChange changeFrom(long heldRevision) {
        return history.changeFrom(heldRevision).orElseThrow();
    }

    @Test
    void shouldIncludeOnlyTheRoutesThatChanged() {
        history.add(table(1, route("a", 10), route("b", 10), route("c", 10)), 10);
        history.add(table(2, route("a", 10), route("b", 20), route("d", 10)), 20);

        RoutingTableChange change = changeFrom(10);

        assertThat(change.changedRoutes()).containsExactly(route("b", 20), route("d", 10));
        assertThat(change.removedRoutes()).containsExactly("c");
    }

    @Test
    void shouldLeadToTheSameTableFromEachVersionThatItKnows() {
        RoutingTable first = table(1, route("a", 10), route("b", 10));
        RoutingTable second = table(2, route("a", 20), route("b", 10));
        RoutingTable third = table(3, route("a", 10), route("b", 20));
        history.add(first, 10);
        history.add(second, 20);
        history.add(third, 30);

        RoutingTableChange change = changeFrom(10);

        assertThat(change.applyTo(first)).isEqualTo(third);
        assertThat(change.applyTo(second)).isEqualTo(third);
        assertThat(change.applyTo(third)).isEqualTo(third);
        assertThat(List.of(first, second, third)).allMatch(change::appliesTo);
    }

    @Test
    void shouldStartFromTheVersionThatWasInTheStoreAtTheHeldRevision() {
        RoutingTable second = table(2, route("a", 20), route("b", 10));
        history.add(table(1, route("a", 10), route("b", 10)), 10);
        history.add(second, 20);
        history.add(table(3, route("a", 20), route("b", 20)), 30);

        RoutingTableChange change = changeFrom(29);

        assertThat(change.fromVersions()).containsExactlyInAnyOrder(2L, 3L);
        assertThat(change.changedRoutes()).containsExactly(route("b", 20));
        assertThat(change.appliesTo(second)).isTrue();
    }

    @Test
    void shouldNotApplyToAVersionThatWasNeverAdded() {
        history.add(table(1, route("a", 10)), 10);
        history.add(table(3, route("a", 20)), 30);

        assertThat(changeFrom(20).appliesTo(table(2, route("a", 30)))).isFalse();
        assertThat(changeFrom(20).appliesTo(table(1, route("a", 10)))).isTrue();
    }

    @Test
    void shouldKnowNoChangeFromARevisionBeforeTheFirstTable() {
        history.add(table(1, route("a", 10)), 10);
        history.add(table(2, route("a", 20)), 20);

        assertThat(history.changeFrom(9)).isEmpty();
        assertThat(history.changeFrom(0)).isEmpty();
    }

    @Test
    void shouldForgetTheOldestVersionsWhenTooManyRoutesWereTouched() {
        Route[] many = new Route[RoutingTableHistory.MAX_TOUCHED_ROUTES + 1];
        for (int index = 0; index < many.length; index++) {
            many[index] = route("r" + index, 10);
        }
        history.add(table(1), 10);
        history.add(table(2, many), 20);

        RoutingTableChange change = changeFrom(20);

        assertThat(history.changeFrom(10)).isEmpty();
        assertThat(change.appliesTo(table(1))).isFalse();
        assertThat(change.changedRoutes()).isEmpty();
        assertThat(change.appliesTo(table(2, many))).isTrue();
    }

    @Test
    void shouldKnowNoChangeThatTouchesMoreThanHalfOfTheRoutes() {
        Route[] added = new Route[9];
        for (int index = 0; index < added.length; index++) {
            added[index] = route("r" + index, 10);
        }
        history.add(table(1), 10);
        history.add(table(2, added), 20);

        assertThat(history.changeFrom(10)).isEmpty();
    }

    @Test
    void shouldApplyOnlyToTheNewestVersionWhenTwoRoutesShareAName() {
        RoutingTable newest = table(2, route("a", 20), route("a", 30));
        history.add(table(1, route("a", 10)), 10);
        history.add(newest, 20);

        assertThat(history.changeFrom(10)).isEmpty();
        assertThat(changeFrom(20).appliesTo(table(1, route("a", 10)))).isFalse();
        assertThat(changeFrom(20).fromVersions()).containsExactly(2L);
        assertThat(changeFrom(20).applyTo(newest)).isEqualTo(newest);
    }

    @Test
    void shouldIgnoreAnOlderVersion() {
        history.add(table(2, route("a", 20)), 20);
        history.add(table(1, route("a", 10)), 30);

        assertThat(changeFrom(20).version()).isEqualTo(2);
        assertThat(changeFrom(20).appliesTo(table(2, route("a", 20)))).isTrue();
    }

    @Test
    void shouldIgnoreAnotherTableOfTheNewestVersion() {
        history.add(table(2, route("a", 20)), 20);
        history.add(table(2, route("a", 30)), 30);

        assertThat(changeFrom(30).applyTo(table(2, route("a", 20)))).isEqualTo(table(2, route("a", 20)));
        assertThat(changeFrom(30).appliesTo(table(2, route("a", 30)))).isFalse();
    }

    @Test
    void shouldKeepTheOrderOfMovedRoutes() {
        Route[] routes = new Route[20];
        for (int index = 0; index < routes.length; index++) {
            routes[index] = route("r" + index, 10);
        }
        RoutingTable older = table(1, routes);
        List<Route> moved = new ArrayList<>(older.routes());
        moved.add(3, moved.remove(17));
        RoutingTable newer = new RoutingTable(2, moved, Map.of(), LIMITS);
        history.add(older, 10);
        history.add(newer, 20);

        RoutingTableChange change = history.changeFrom(10).orElseGet(() -> RoutingTableChange.whole(newer));

        assertThat(change.appliesTo(older)).isTrue();
        assertThat(change.applyTo(older).routes()).containsExactlyElementsOf(moved);
    }

    @Test
    void shouldKeepTheOrderOfRoutesThatAreInsertedAndRenamed() {
        RoutingTable older = table(1, route("a", 10), route("b", 10), route("c", 10));
        RoutingTable newer = table(2, route("x", 10), route("a", 10), route("y", 10), route("c", 10));
        history.add(older, 10);
        history.add(newer, 20);

        assertThat(changeFrom(10).applyTo(older).routes()).containsExactlyElementsOf(newer.routes());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void shouldLeadToTheNewestTableFromEveryApplicableVersionAfterRandomChanges(long seed) {
        RandomTables random = new RandomTables(new Random(seed), 12, 0);

        assertLeadsToTheNewestTable(random, 200);
    }

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("routing.history.seeds", 8));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void shouldLeadToTheNewestTableAfterRandomMovesRenamesAndDuplicates(long seed) {
        RandomTables random = new RandomTables(new Random(seed), 40, 40);

        assertLeadsToTheNewestTable(random, 150);
    }

    private void assertLeadsToTheNewestTable(RandomTables random, int count) {
        List<Recorded> recorded = new ArrayList<>();
        List<RoutingTable> tables = new ArrayList<>();
        int changeCount = 0;
        for (long version = 1; version <= count; version++) {
            RoutingTable table = random.next(version);
            tables.add(table);
            if (random.isRecorded()) {
                history.add(table, 10 * version);
                for (Recorded older : recorded) {
                    changeCount += assertLeads(older, table, tables) ? 1 : 0;
                }
                recorded.add(new Recorded(table, 10 * version));
            }
        }
        assertThat(changeCount)
                .as("changes from older versions without the whole table")
                .isGreaterThan(count / 2);
    }

    /** Asserts that the change from {@code older} leads to {@code newest}; returns whether there is one. */
    private boolean assertLeads(Recorded older, RoutingTable newest, List<RoutingTable> tables) {
        Optional<RoutingTableChange> change = history.changeFrom(older.revision());
        if (change.isPresent()) {
            assertThat(change.get().appliesTo(older.table())).isTrue();
            assertThat(tables.stream().filter(change.get()::appliesTo))
                    .allSatisfy(table -> assertThat(change.get().applyTo(table)).isEqualTo(newest));
        }
        return change.isPresent();
    }

    /**
     * A table that was added to the history. Immutable.
     *
     * @param table the table
     * @param revision its revision in the store
     */
    private record Recorded(RoutingTable table, long revision) {}

    /** Tables that follow from each other by a few random edits. Not thread-safe. */
    private static final class RandomTables {
        private static final long DUPLICATE_MILLIS = 99;

        private final Random random;
        private final int nameCount;
        private final int kindCount;
        private final List<Route> routes = new ArrayList<>();
        private long timeoutOfService;

        /**
         * Creates tables with up to {@code nameCount} names. Of {@code kindCount} edits one makes a duplicate that the
         * next table lacks; two move a route and two rename one.
         */
        RandomTables(Random random, int nameCount, int kindCount) {
            this.random = random;
            this.nameCount = nameCount;
            this.kindCount = kindCount;
        }

        boolean isRecorded() {
            return random.nextInt(3) > 0;
        }

        RoutingTable next(long version) {
            routes.removeIf(route -> route.timeoutMillis() == DUPLICATE_MILLIS);
            for (int edit = random.nextInt(3); edit >= 0; edit--) {
                edit(kindCount == 0 ? Integer.MAX_VALUE : random.nextInt(kindCount));
            }
            timeoutOfService += random.nextInt(8) == 0 ? 1 : 0;
            Map<String, ServiceRules> services =
                    Map.of("s", new ServiceRules("s", "/health", 10, timeoutOfService, 5, false, 0));
            return new RoutingTable(version, routes, services, LIMITS);
        }

        private void edit(int kind) {
            String name = "r" + random.nextInt(nameCount);
            if (kind <= 4 && routes.size() > 1) {
                editOrder(kind, name);
            } else if (random.nextInt(3) == 0) {
                routes.removeIf(route -> route.name().equals(name));
            } else if (contains(name)) {
                routes.replaceAll(route -> isReplaced(route, name) ? route(name, random.nextInt(3)) : route);
            } else {
                routes.add(random.nextInt(routes.size() + 1), route(name, random.nextInt(3)));
            }
        }

        private void editOrder(int kind, String name) {
            int place = random.nextInt(routes.size());
            if (kind == 0) {
                routes.add(place, route(routes.get(0).name(), DUPLICATE_MILLIS));
            } else if (kind <= 2) {
                routes.add(place, routes.remove(random.nextInt(routes.size())));
            } else if (!contains(name)) {
                routes.set(place, route(name, random.nextInt(3)));
            }
        }

        private static boolean isReplaced(Route route, String name) {
            return route.name().equals(name) && route.timeoutMillis() != DUPLICATE_MILLIS;
        }

        private boolean contains(String name) {
            return routes.stream().map(Route::name).toList().contains(name);
        }
    }
}
