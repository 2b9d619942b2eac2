package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.daisyscale.core.following.ReadCircumstances;
import org.daisyscale.core.following.TableUpdate;
import org.daisyscale.core.following.UpdateResult;
import org.daisyscale.core.following.ViewUpdate;
import org.daisyscale.core.following.ViewVersion;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.Listing;
import org.daisyscale.core.serving.EventTime;
import org.daisyscale.core.serving.RequestLimits;
import org.daisyscale.core.serving.Route;
import org.daisyscale.core.serving.Route.WeightedService;
import org.daisyscale.core.serving.RoutingTable;
import org.daisyscale.core.serving.RoutingTableChange;
import org.daisyscale.core.serving.ServingEvent;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against updates that don't lead to the table which they promise. */
class OperatorStateUpdateTest {
    private static final RequestLimits LIMITS = new RequestLimits(16_384, 1_000_000, 3_000, 15_000);
    private static final RoutingTable OLDER = table(1, route("a", 1), route("b", 1), route("c", 1));
    private static final RoutingTable NEWER = table(2, route("a", 1), route("b", 2), route("c", 1));

    private final List<ServingEvent> events = new ArrayList<>();
    private final OperatorState state = new OperatorState(new NumberedConfigurations(), events::add, new Readiness());

    private static Route route(String name, long timeoutMillis) {
        List<WeightedService> services = List.of(new WeightedService("s", 1));
        return new Route(name, "h", "/" + name, true, timeoutMillis, 500, 1, 2, services);
    }

    private static RoutingTable table(long version, Route... routes) {
        return new RoutingTable(version, List.of(routes), Map.of(), LIMITS);
    }

    private static RoutingTableChange change(List<Route> changed, List<Integer> positions, Set<String> removed) {
        return new RoutingTableChange(Set.of(1L, 2L), 2, changed, positions, removed, Map.of(), LIMITS, NEWER.digest());
    }

    /** Returns the update to {@code change}, whose table was written at {@code revision}, with nothing else. */
    private static ViewUpdate update(long revision, boolean isWhole, RoutingTableChange change) {
        Item configuration = new Item("op/config", new byte[0], revision);
        ViewVersion version = ControllerView.ofOperators()
                .list(revision, NumberedConfigurations.configuration(change.version(), revision))
                .version();
        return new ViewUpdate(
                "op/", version, isWhole, List.of(configuration), Set.of(), List.of(new TableUpdate(revision, change)));
    }

    private static ViewUpdate whole(long revision, RoutingTable table) {
        return update(revision, true, RoutingTableChange.whole(table));
    }

    @BeforeEach
    void holdTheOlderTable() {
        assertThat(state.applyUpdate(whole(5, OLDER), "r7", EventTime.UNKNOWN)).isEqualTo(UpdateResult.APPLIED);
    }

    private List<RoutingTable> tables() {
        return events.stream()
                .filter(ServingEvent.TableChanged.class::isInstance)
                .map(event -> ((ServingEvent.TableChanged) event).table())
                .toList();
    }

    private static Stream<RoutingTableChange> changesThatDoNotLeadToTheirTable() {
        Route changed = route("b", 2);
        return Stream.of(
                change(List.of(changed, changed), List.of(1, 2), Set.of()),
                change(List.of(changed), List.of(5), Set.of()),
                change(List.of(changed), List.of(-1), Set.of()),
                change(List.of(changed), List.of(), Set.of()),
                change(List.of(changed), List.of(1, 2), Set.of()),
                change(List.of(changed), List.of(2), Set.of()),
                change(List.of(changed, route("a", 1)), List.of(1, 0), Set.of()),
                change(List.of(changed), List.of(1), Set.of("c")),
                change(List.of(), List.of(), Set.of()));
    }

    @Test
    void shouldApplyAChangeThatLeadsToItsTable() {
        UpdateResult result = state.applyUpdate(
                update(6, false, change(List.of(route("b", 2)), List.of(1), Set.of())), "r7", EventTime.UNKNOWN);

        assertThat(result).isEqualTo(UpdateResult.APPLIED);
        assertThat(tables()).containsExactly(OLDER, NEWER);
    }

    @ParameterizedTest
    @MethodSource("changesThatDoNotLeadToTheirTable")
    void shouldRefuseAChangeThatDoesNotLeadToItsTableAndApplyTheWholeOneThatAnswersIt(RoutingTableChange change) {
        ViewVersion held = state.version();

        UpdateResult result = state.applyUpdate(update(6, false, change), "r7", EventTime.UNKNOWN);
        assertThat(result).isEqualTo(UpdateResult.DOES_NOT_APPLY);
        assertThat(result.needsWhole()).isTrue();
        assertThat(state.version()).isEqualTo(held);
        assertThat(tables()).containsExactly(OLDER);
        UpdateResult answer = state.applyUpdate(whole(6, NEWER), "r7", EventTime.UNKNOWN);

        assertThat(answer).isEqualTo(UpdateResult.APPLIED);
        assertThat(tables()).containsExactly(OLDER, NEWER);
    }

    @Test
    void shouldRefuseAChangeOfAnotherTableWithTheSameVersionNumber() {
        RoutingTable otherNewer = table(2, route("x", 1), route("b", 2));
        RoutingTableChange ofOther = new RoutingTableChange(
                Set.of(1L, 2L), 2, List.of(route("b", 2)), List.of(1), Set.of(), Map.of(), LIMITS, otherNewer.digest());

        UpdateResult result = state.applyUpdate(update(6, false, ofOther), "r7", EventTime.UNKNOWN);
        assertThat(result).isEqualTo(UpdateResult.DOES_NOT_APPLY);
        assertThat(tables()).containsExactly(OLDER);
        UpdateResult answer = state.applyUpdate(whole(6, otherNewer), "r7", EventTime.UNKNOWN);

        assertThat(answer).isEqualTo(UpdateResult.APPLIED);
        assertThat(tables()).containsExactly(OLDER, otherNewer);
    }

    @Test
    void shouldRefuseAWholeTableThatIsNotCompleteWhileNoneIsKnown() {
        OperatorState empty = new OperatorState(new NumberedConfigurations(), events::add, new Readiness());
        RoutingTableChange incomplete = new RoutingTableChange(
                Set.of(), 2, List.of(route("b", 2)), List.of(0), Set.of(), Map.of(), LIMITS, NEWER.digest());

        UpdateResult result = empty.applyUpdate(update(6, true, incomplete), "r7", EventTime.UNKNOWN);

        assertThat(result).isEqualTo(UpdateResult.DOES_NOT_APPLY);
        assertThat(empty.version()).isEqualTo(ViewVersion.NONE);
    }

    @Test
    void shouldIgnoreAnUpdateThatIsOlderThanWhatWasRead() {
        state.applyListing(
                new Listing(List.of(NumberedConfigurations.configuration(3, 9)), 12),
                new ReadCircumstances(EventTime.UNKNOWN, false));

        UpdateResult result = state.applyUpdate(whole(6, NEWER), "r7", EventTime.UNKNOWN);

        assertThat(result).isEqualTo(UpdateResult.OLDER);
        assertThat(tables()).extracting(RoutingTable::version).containsExactly(1L, 3L);
    }
}
