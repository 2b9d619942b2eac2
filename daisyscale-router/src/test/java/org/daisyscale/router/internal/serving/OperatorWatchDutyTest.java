package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.daisyscale.core.peer.PeerMessage.OperatorUpdate;
import org.daisyscale.core.peer.PeerMessage.StoreProgress;
import org.daisyscale.core.platform.CoordinationStore.Changes;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.ItemChange;
import org.daisyscale.core.platform.CoordinationStore.Listing;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.RequestLimits;
import org.daisyscale.core.serving.Route;
import org.daisyscale.core.serving.Route.WeightedService;
import org.daisyscale.core.serving.RoutingTable;
import org.daisyscale.core.serving.RoutingTableChange;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.daisyscale.router.serving.FleetDecoder;
import org.junit.jupiter.api.Test;

class OperatorWatchDutyTest {
    private static final RequestLimits LIMITS = new RequestLimits(16_384, 1_000_000, 3_000, 15_000);

    private final ScriptedStore store = new ScriptedStore();
    private final List<ServingEvent> told = new ArrayList<>();
    private final List<OperatorUpdate> published = new ArrayList<>();
    private final Ring<OperatorUpdate> updates = new ArrayRing<>("updates", 4);
    private final FollowedWatch guard =
            new FollowedWatch("op/", progress -> {}, () -> false, () -> {}, System::nanoTime);
    private final OperatorWatchDuty duty = new OperatorWatchDuty(
            store,
            "op/",
            guard,
            0,
            updates,
            new OperatorBook(new NumbersDecoder(), told::add, new Readiness()),
            published::add);

    /** The configuration of {@code version}, whose only route has the version as its timeout. */
    private static RoutingTable table(long version) {
        Route route = new Route("r", "h", "/r/", true, version, 500, 1, 2, List.of(new WeightedService("s", 1)));
        return new RoutingTable(version, List.of(route), Map.of(), LIMITS);
    }

    private static Item configuration(long version, long revision) {
        return new Item("op/config", String.valueOf(version).getBytes(StandardCharsets.UTF_8), revision);
    }

    private static ItemChange change(Item item) {
        return new ItemChange(item.key(), item.revision(), Optional.of(item));
    }

    private static OperatorUpdate update(long revision, long fromVersion, long version, Set<String> evacuated) {
        RoutingTableChange change = new RoutingTableChange(
                Set.copyOf(List.of(fromVersion, version)),
                version,
                table(version).routes(),
                Set.of(),
                Map.of(),
                LIMITS);
        return new OperatorUpdate(revision, change, evacuated);
    }

    private List<Long> versionsTold() {
        return told.stream()
                .filter(ServingEvent.TableChanged.class::isInstance)
                .map(event -> ((ServingEvent.TableChanged) event).table().version())
                .toList();
    }

    private void readVersionOne() throws InterruptedException {
        store.willList(new Listing(List.of(configuration(1, 5)), 6));
        duty.runStep();
    }

    @Test
    void shouldTakeFromTheControllerWhatChangedWithoutACallToTheStore() throws InterruptedException {
        readVersionOne();
        guard.confirm(new StoreProgress("op/", 9));
        updates.put(update(9, 1, 2, Set.of("z1")));

        duty.runStep();

        assertThat(versionsTold()).containsExactly(1L, 2L);
        assertThat(told).contains(new ServingEvent.EvacuationsChanged(Set.of("z1")));
        assertThat(store.callCount()).isEqualTo(1);
    }

    @Test
    void shouldTakeFromTheControllerWhatChangedWhileTheStoreTurnsThisRouterAway() throws InterruptedException {
        readVersionOne();
        duty.runStep();
        guard.confirm(new StoreProgress("op/", 9));
        updates.put(update(9, 1, 2, Set.of()));

        duty.runStep();

        assertThat(versionsTold()).containsExactly(1L, 2L);
    }

    @Test
    void shouldReadTheStoreWhenAnUpdateDoesNotFitWhatIsKnown() throws InterruptedException {
        readVersionOne();
        guard.confirm(new StoreProgress("op/", 9));
        updates.put(update(9, 2, 3, Set.of()));
        duty.runStep();
        Thread.sleep(FollowedWatch.LAG_MILLIS + 10);
        store.willList(new Listing(List.of(configuration(3, 9)), 9));

        duty.runStep();
        duty.runStep();

        assertThat(versionsTold()).containsExactly(1L, 3L);
    }

    @Test
    void shouldPassOverAnUpdateThatIsOlderThanWhatWasRead() throws InterruptedException {
        store.willList(new Listing(List.of(configuration(3, 9)), 12));
        duty.runStep();
        guard.confirm(new StoreProgress("op/", 9));
        updates.put(update(8, 3, 4, Set.of("z1")));

        duty.runStep();

        assertThat(versionsTold()).containsExactly(3L);
        assertThat(told).noneMatch(ServingEvent.EvacuationsChanged.class::isInstance);
    }

    @Test
    void shouldReadTheStoreOnceTheControllerFallsSilent() throws InterruptedException {
        readVersionOne();
        guard.confirm(new StoreProgress("op/", 5));
        duty.runStep();
        Thread.sleep(FollowedWatch.SILENCE_MILLIS);
        store.willList(new Listing(List.of(configuration(2, 9)), 9));

        duty.runStep();
        duty.runStep();

        assertThat(versionsTold()).containsExactly(1L, 2L);
    }

    @Test
    void shouldReadOnlyTheNewestOfSeveralVersionsThatCameAtOnce() throws InterruptedException {
        readVersionOne();
        store.willHear(Optional.of(new Changes(List.of(change(configuration(2, 7)), change(configuration(3, 8))), 8)));

        duty.runStep();

        assertThat(versionsTold()).containsExactly(1L, 3L);
    }

    @Test
    void shouldListUntilNothingNewComesAfterSeveralVersionsCameAtOnce() throws InterruptedException {
        readVersionOne();
        store.willHear(Optional.of(new Changes(List.of(change(configuration(2, 7)), change(configuration(3, 8))), 8)));
        duty.runStep();
        store.willList(new Listing(List.of(configuration(6, 12)), 12));
        store.willList(new Listing(List.of(configuration(6, 12)), 12));
        store.willHear(Optional.of(new Changes(List.of(change(configuration(7, 14))), 14)));

        duty.runStep();
        duty.runStep();
        duty.runStep();

        assertThat(versionsTold()).containsExactly(1L, 3L, 6L, 7L);
    }

    @Test
    void shouldTellTheOtherRoutersWhatChanged() throws InterruptedException {
        readVersionOne();
        store.willHear(Optional.of(new Changes(List.of(change(configuration(2, 7))), 7)));

        duty.runStep();

        assertThat(published).last().satisfies(update -> {
            assertThat(update.revision()).isEqualTo(7);
            assertThat(update.table().appliesTo(table(1))).isTrue();
            assertThat(update.table().applyTo(table(1))).isEqualTo(table(2));
        });
    }

    @Test
    void shouldEndAnEvacuationThatOnlyAListShowsToBeOver() throws InterruptedException {
        readVersionOne();
        guard.confirm(new StoreProgress("op/", 9));
        updates.put(update(9, 1, 1, Set.of("z1")));
        duty.runStep();
        Thread.sleep(FollowedWatch.SILENCE_MILLIS);
        store.willList(new Listing(List.of(configuration(1, 5)), 12));

        duty.runStep();
        duty.runStep();

        assertThat(told).last().isEqualTo(new ServingEvent.EvacuationsChanged(Set.of()));
    }

    /** Configurations that are a version's number. */
    private static final class NumbersDecoder implements FleetDecoder {

        @Override
        public String operatorPrefix() {
            return "op/";
        }

        @Override
        public String serverPrefix() {
            return "servers/";
        }

        @Override
        public Optional<RoutingTable> table(Item item) {
            return item.key().equals("op/config")
                    ? Optional.of(OperatorWatchDutyTest.table(
                            Long.parseLong(new String(item.value(), StandardCharsets.UTF_8))))
                    : Optional.empty();
        }

        @Override
        public Optional<String> evacuatedDataCentre(String key) {
            return key.startsWith("op/evacuate/")
                    ? Optional.of(key.substring("op/evacuate/".length()))
                    : Optional.empty();
        }

        @Override
        public Optional<BackendServer> server(Item item) {
            return Optional.empty();
        }

        @Override
        public String serverId(String key) {
            return key;
        }
    }
}
