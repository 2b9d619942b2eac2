package org.daisyscale.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.daisyscale.core.serving.Route.WeightedService;
import org.junit.jupiter.api.Test;

class RoutingTableChangeTest {
    private static final RequestLimits LIMITS = new RequestLimits(16_384, 1_000_000, 3_000, 15_000);
    private static final RoutingTable OLDER = table(1, route("a", 10), route("b", 10), route("c", 10));
    private static final RoutingTable NEWER = table(2, route("x", 10), route("a", 10), route("b", 20), route("y", 10));

    private static Route route(String name, long timeoutMillis) {
        return new Route(
                name, "h", "/" + name + "/", true, timeoutMillis, 500, 1, 2, List.of(new WeightedService("s", 1)));
    }

    private static RoutingTable table(long version, Route... routes) {
        return new RoutingTable(version, List.of(routes), Map.of(), LIMITS);
    }

    /** Returns a change from {@link #OLDER} that promises {@link #NEWER}. */
    private static RoutingTableChange change(List<Route> changed, List<Integer> positions, Set<String> removed) {
        return new RoutingTableChange(Set.of(1L), 2, changed, positions, removed, Map.of(), LIMITS, NEWER.digest());
    }

    private static List<Route> changedRoutes() {
        return List.of(route("x", 10), route("b", 20), route("y", 10));
    }

    @Test
    void shouldLeadToTheNewerTableRouteForRouteAndInOrder() {
        RoutingTableChange change = change(changedRoutes(), List.of(0, 2, 3), Set.of("c"));

        assertThat(change.appliesTo(OLDER)).isTrue();
        assertThat(change.applyTo(OLDER)).isEqualTo(NEWER);
    }

    @Test
    void shouldNotApplyToAnotherTableWithTheSameVersionNumber() {
        RoutingTableChange change = change(changedRoutes(), List.of(0, 2, 3), Set.of("c"));

        assertThat(change.appliesTo(table(1, route("a", 11), route("b", 10), route("c", 10))))
                .isFalse();
        assertThat(change.appliesTo(table(1, route("c", 10), route("b", 10)))).isFalse();
        assertThat(change.appliesTo(table(1, route("d", 10), route("a", 10), route("b", 10))))
                .isFalse();
        assertThat(change.appliesTo(table(1))).isFalse();
    }

    @Test
    void shouldNotApplyToAnotherTableWhoseRouteNamesHaveTheSameHashCode() {
        assertThat("Aa".hashCode()).isEqualTo("BB".hashCode());
        RoutingTable older = table(1, route("Aa", 10), route("b", 10));
        RoutingTable other = table(1, route("BB", 10), route("b", 10));
        RoutingTable newer = table(2, route("Aa", 10), route("b", 20));
        RoutingTableChange change = new RoutingTableChange(
                Set.of(1L), 2, List.of(route("b", 20)), List.of(1), Set.of(), Map.of(), LIMITS, newer.digest());

        assertThat(change.appliesTo(older)).isTrue();
        assertThat(change.appliesTo(other)).isFalse();
    }

    @Test
    void shouldNotApplyToATableThatLacksTheOrderOfTheRoutes() {
        RoutingTableChange change = change(changedRoutes(), List.of(0, 2, 3), Set.of("c"));

        assertThat(change.appliesTo(table(1, route("a", 10), route("d", 10), route("c", 10))))
                .isFalse();
        assertThat(change(changedRoutes(), List.of(0, 1, 3), Set.of("c")).appliesTo(OLDER))
                .isFalse();
    }

    @Test
    void shouldNotApplyWithPositionsOutOfRange() {
        assertThat(change(changedRoutes(), List.of(0, 2, 4), Set.of("c")).appliesTo(OLDER))
                .isFalse();
        assertThat(change(changedRoutes(), List.of(0, 2, Integer.MAX_VALUE), Set.of("c"))
                        .appliesTo(OLDER))
                .isFalse();
        assertThat(change(changedRoutes(), List.of(-1, 2, 3), Set.of("c")).appliesTo(OLDER))
                .isFalse();
    }

    @Test
    void shouldNotApplyWithAPositionTwiceOrOutOfOrder() {
        assertThat(change(changedRoutes(), List.of(0, 2, 2), Set.of("c")).appliesTo(OLDER))
                .isFalse();
        assertThat(change(changedRoutes(), List.of(2, 0, 3), Set.of("c")).appliesTo(OLDER))
                .isFalse();
    }

    @Test
    void shouldNotApplyWithFewerOrMorePositionsThanRoutes() {
        assertThat(change(changedRoutes(), List.of(0, 2), Set.of("c")).appliesTo(OLDER))
                .isFalse();
        assertThat(change(changedRoutes(), List.of(0, 2, 3, 4), Set.of("c")).appliesTo(OLDER))
                .isFalse();
        assertThat(change(changedRoutes(), List.of(), Set.of("c")).appliesTo(OLDER))
                .isFalse();
    }

    @Test
    void shouldNotApplyWithARouteTwice() {
        List<Route> twice = List.of(route("x", 10), route("b", 20), route("y", 10), route("y", 10));

        assertThat(change(twice, List.of(0, 2, 3, 4), Set.of("c")).appliesTo(OLDER))
                .isFalse();
    }

    @Test
    void shouldNotApplyWhenARemovedRouteIsKeptOrAKeptRouteIsRemoved() {
        assertThat(change(changedRoutes(), List.of(0, 2, 3), Set.of()).appliesTo(OLDER))
                .isFalse();
        assertThat(change(changedRoutes(), List.of(0, 2, 3), Set.of("c", "a")).appliesTo(OLDER))
                .isFalse();
    }

    @Test
    void shouldNotApplyWithOtherRulesOrLimitsThanItPromises() {
        RequestLimits otherLimits = new RequestLimits(8_192, 1_000_000, 3_000, 15_000);
        ServiceRules rules = new ServiceRules("s", "/health", 10, 0, 5, false, 0);

        assertThat(new RoutingTableChange(
                                Set.of(1L),
                                2,
                                changedRoutes(),
                                List.of(0, 2, 3),
                                Set.of("c"),
                                Map.of(),
                                otherLimits,
                                NEWER.digest())
                        .appliesTo(OLDER))
                .isFalse();
        assertThat(new RoutingTableChange(
                                Set.of(1L),
                                2,
                                changedRoutes(),
                                List.of(0, 2, 3),
                                Set.of("c"),
                                Map.of("s", rules),
                                LIMITS,
                                NEWER.digest())
                        .appliesTo(OLDER))
                .isFalse();
    }

    @Test
    void shouldNotApplyToAVersionThatItDoesNotStartFrom() {
        RoutingTableChange change = change(changedRoutes(), List.of(0, 2, 3), Set.of("c"));

        assertThat(change.appliesTo(new RoutingTable(3, OLDER.routes(), Map.of(), LIMITS)))
                .isFalse();
        assertThat(change.isCompleteTable()).isFalse();
    }

    @Test
    void shouldLeadFromAnyTableToAWholeOne() {
        RoutingTableChange whole = RoutingTableChange.whole(NEWER);

        assertThat(whole.isWhole()).isTrue();
        assertThat(whole.isCompleteTable()).isTrue();
        assertThat(whole.toTable()).isEqualTo(NEWER);
        assertThat(whole.appliesTo(OLDER)).isTrue();
        assertThat(whole.applyTo(OLDER)).isEqualTo(NEWER);
        assertThat(whole.applyTo(NEWER)).isEqualTo(NEWER);
    }

    @Test
    void shouldHoldAWholeTableWithTwoRoutesOfOneName() {
        RoutingTable twice = table(2, route("a", 10), route("b", 10), route("a", 20));

        RoutingTableChange whole = RoutingTableChange.whole(twice);

        assertThat(whole.isCompleteTable()).isTrue();
        assertThat(whole.applyTo(OLDER)).isEqualTo(twice);
    }

    @Test
    void shouldNotUseAWholeTableThatIsNotComplete() {
        List<Route> incomplete = NEWER.routes().subList(0, 3);

        RoutingTableChange change = new RoutingTableChange(
                Set.of(), 2, incomplete, List.of(0, 1, 2), Set.of(), Map.of(), LIMITS, NEWER.digest());

        assertThat(change.isCompleteTable()).isFalse();
        assertThat(change.appliesTo(OLDER)).isFalse();
    }

    @Test
    void shouldNotUseAWholeTableInAnotherOrder() {
        List<Route> reversed = List.of(route("y", 10), route("b", 20), route("a", 10), route("x", 10));

        RoutingTableChange change = new RoutingTableChange(
                Set.of(), 2, reversed, List.of(0, 1, 2, 3), Set.of(), Map.of(), LIMITS, NEWER.digest());

        assertThat(change.isCompleteTable()).isFalse();
    }
}
