package org.daisyscale.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.daisyscale.core.serving.Route.WeightedService;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RoutingTableHistoryTest {
    private static final RequestLimits LIMITS = new RequestLimits(16_384, 1_000_000, 3_000, 15_000);

    private final RoutingTableHistory history = new RoutingTableHistory();

    private static Route route(String name, long timeoutMillis) {
        return new Route(
                name, "h", "/" + name + "/", true, timeoutMillis, 500, 1, 2, List.of(new WeightedService("s", 1)));
    }

    private static RoutingTable table(long version, Route... routes) {
        return new RoutingTable(version, List.of(routes), Map.of(), LIMITS);
    }

    @Test
    void shouldIncludeOnlyTheRoutesThatChanged() {
        history.add(table(1, route("a", 10), route("b", 10), route("c", 10)));
        history.add(table(2, route("a", 10), route("b", 20), route("d", 10)));

        RoutingTableChange change = history.change();

        assertThat(change.changedRoutes()).containsExactly(route("b", 20), route("d", 10));
        assertThat(change.removedRoutes()).containsExactly("c");
    }

    @Test
    void shouldLeadToTheSameTableFromEachVersionThatItKnows() {
        RoutingTable first = table(1, route("a", 10), route("b", 10));
        RoutingTable second = table(2, route("a", 20), route("b", 10));
        RoutingTable third = table(3, route("a", 10), route("b", 20));
        history.add(first);
        history.add(second);
        history.add(third);

        RoutingTableChange change = history.change();

        assertThat(change.applyTo(first).routes()).containsExactlyInAnyOrderElementsOf(third.routes());
        assertThat(change.applyTo(second).routes()).containsExactlyInAnyOrderElementsOf(third.routes());
        assertThat(change.applyTo(third).routes()).containsExactlyInAnyOrderElementsOf(third.routes());
    }

    @Test
    void shouldNotApplyToAVersionThatWasNeverAdded() {
        history.add(table(1, route("a", 10)));
        history.add(table(3, route("a", 20)));

        assertThat(history.change().appliesTo(table(2, route("a", 30)))).isFalse();
    }

    @Test
    void shouldForgetTheOldestVersionsWhenTooManyRoutesWereTouched() {
        Route[] many = new Route[RoutingTableHistory.MAX_TOUCHED_ROUTES + 1];
        for (int index = 0; index < many.length; index++) {
            many[index] = route("r" + index, 10);
        }
        history.add(table(1));
        history.add(table(2, many));

        RoutingTableChange change = history.change();

        assertThat(change.appliesTo(table(1))).isFalse();
        assertThat(change.changedRoutes()).isEmpty();
        assertThat(change.appliesTo(table(2, many))).isTrue();
    }

    @Test
    void shouldApplyOnlyToTheNewestVersionWhenTwoRoutesShareAName() {
        history.add(table(1, route("a", 10)));
        history.add(table(2, route("a", 20), route("a", 30)));

        assertThat(history.change().appliesTo(table(1, route("a", 10)))).isFalse();
        assertThat(history.change().fromVersions()).containsExactly(2L);
    }

    @Test
    void shouldIgnoreAnOlderVersion() {
        history.add(table(2, route("a", 20)));
        history.add(table(1, route("a", 10)));

        assertThat(history.change().version()).isEqualTo(2);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void shouldLeadToTheNewestTableFromEveryApplicableVersionAfterRandomChanges(long seed) {
        Random random = new Random(seed);
        Map<String, Route> current = new HashMap<>();
        List<RoutingTable> tables = new ArrayList<>();
        for (long version = 1; version <= 200; version++) {
            for (int change = random.nextInt(3); change >= 0; change--) {
                String name = "r" + random.nextInt(12);
                if (random.nextInt(3) == 0) {
                    current.remove(name);
                } else {
                    current.put(name, route(name, random.nextInt(3)));
                }
            }
            RoutingTable table = new RoutingTable(version, List.copyOf(current.values()), Map.of(), LIMITS);
            tables.add(table);
            if (random.nextInt(3) > 0) {
                history.add(table);
                assertLeadsFromEachTo(tables, table);
            }
        }
    }

    private void assertLeadsFromEachTo(List<RoutingTable> tables, RoutingTable newest) {
        RoutingTableChange change = history.change();
        assertThat(tables.stream().filter(change::appliesTo))
                .allSatisfy(table -> assertThat(change.applyTo(table).routes())
                        .containsExactlyInAnyOrderElementsOf(newest.routes()));
    }
}
