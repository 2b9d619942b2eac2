package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
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
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

class OperatorWatchDutyTest {
    private static final RequestLimits LIMITS = new RequestLimits(16_384, 1_000_000, 3_000, 15_000);
    /** The time limit for a confirmed configuration to come into force, in milliseconds. */
    private static final long APPLY_LIMIT_MILLIS = 2_000;
    /** The interval of the controller's reports while the configuration changes steadily, in milliseconds. */
    private static final long REPORT_INTERVAL_MILLIS = 200;

    private final ScriptedStore store = new ScriptedStore();
    private final List<ServingEvent> events = new ArrayList<>();
    private final List<OperatorUpdate> published = new ArrayList<>();
    private final Ring<OperatorUpdate> updates = new ArrayRing<>("updates", 4);
    private final ConfirmedWatchGuard guard =
            new ConfirmedWatchGuard("op/", progress -> {}, () -> false, () -> {}, System::nanoTime);
    private final OperatorWatchDuty duty = createDuty(guard, updates);

    private OperatorWatchDuty createDuty(ConfirmedWatchGuard itsGuard, Ring<OperatorUpdate> itsUpdates) {
        return new OperatorWatchDuty(
                store,
                "op/",
                itsGuard,
                0,
                itsUpdates,
                new OperatorState(new NumbersDecoder(), events::add, new Readiness()),
                published::add);
    }

    /** Returns the configuration of {@code version}, whose only route has the version as its timeout. */
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

    private List<Long> publishedVersions() {
        return events.stream()
                .filter(ServingEvent.TableChanged.class::isInstance)
                .map(event -> ((ServingEvent.TableChanged) event).table().version())
                .toList();
    }

    private void readVersionOne() throws InterruptedException {
        store.enqueueListing(new Listing(List.of(configuration(1, 5)), 6));
        duty.runStep();
    }

    @Test
    void shouldApplyAnUpdateOfTheControllerWithoutACallToTheStore() throws InterruptedException {
        readVersionOne();
        guard.confirm(new StoreProgress("op/", 9));
        updates.put(update(9, 1, 2, Set.of("z1")));

        duty.runStep();

        assertThat(publishedVersions()).containsExactly(1L, 2L);
        assertThat(events).contains(new ServingEvent.EvacuationsChanged(Set.of("z1")));
        assertThat(store.callCount()).isEqualTo(1);
    }

    @Test
    void shouldApplyAnUpdateOfTheControllerWhileTheStoreIsUnreachable() throws InterruptedException {
        readVersionOne();
        duty.runStep();
        guard.confirm(new StoreProgress("op/", 9));
        updates.put(update(9, 1, 2, Set.of()));

        duty.runStep();

        assertThat(publishedVersions()).containsExactly(1L, 2L);
    }

    @Test
    void shouldReadTheStoreWhenAnUpdateDoesNotApply() throws InterruptedException {
        readVersionOne();
        guard.confirm(new StoreProgress("op/", 9));
        updates.put(update(9, 2, 3, Set.of()));
        duty.runStep();
        Thread.sleep(ConfirmedWatchGuard.MAX_LAG_MILLIS + 10);
        store.enqueueListing(new Listing(List.of(configuration(3, 9)), 9));

        duty.runStep();
        duty.runStep();

        assertThat(publishedVersions()).containsExactly(1L, 3L);
    }

    /** Guards against incident DENIED: a router kept a version that the new controller had skipped. */
    @Test
    @Tag("known-red")
    void shouldReadTheStoreInTimeWhenUpdatesThatDoNotApplyKeepComing() throws InterruptedException {
        AtomicLong clockNanos = new AtomicLong();
        ConfirmedWatchGuard clockedGuard =
                new ConfirmedWatchGuard("op/", progress -> {}, () -> false, () -> {}, clockNanos::get);
        Ring<OperatorUpdate> reports = new PeriodicRing<>(clockNanos, REPORT_INTERVAL_MILLIS, number -> {
            clockedGuard.confirm(new StoreProgress("op/", 7 + number));
            return update(7 + number, 1 + number, 2 + number, Set.of());
        });
        OperatorWatchDuty follower = createDuty(clockedGuard, reports);
        store.enqueueListing(new Listing(List.of(configuration(1, 5)), 6));
        store.enqueueListing(new Listing(List.of(configuration(12, 17)), 17));
        clockedGuard.confirm(new StoreProgress("op/", 5));

        while (clockNanos.get() < TimeUnit.MILLISECONDS.toNanos(APPLY_LIMIT_MILLIS)) {
            follower.runStep();
        }

        assertThat(publishedVersions())
                .as("versions in force within %d ms", APPLY_LIMIT_MILLIS)
                .startsWith(1L, 12L);
    }

    @Test
    void shouldIgnoreAnUpdateThatIsOlderThanWhatWasRead() throws InterruptedException {
        store.enqueueListing(new Listing(List.of(configuration(3, 9)), 12));
        duty.runStep();
        guard.confirm(new StoreProgress("op/", 9));
        updates.put(update(8, 3, 4, Set.of("z1")));

        duty.runStep();

        assertThat(publishedVersions()).containsExactly(3L);
        assertThat(events).noneMatch(ServingEvent.EvacuationsChanged.class::isInstance);
    }

    @Test
    void shouldReadTheStoreOnceTheControllerIsSilent() throws InterruptedException {
        readVersionOne();
        guard.confirm(new StoreProgress("op/", 5));
        duty.runStep();
        Thread.sleep(ConfirmedWatchGuard.CONFIRMATION_TIMEOUT_MILLIS);
        store.enqueueListing(new Listing(List.of(configuration(2, 9)), 9));

        duty.runStep();
        duty.runStep();

        assertThat(publishedVersions()).containsExactly(1L, 2L);
    }

    @Test
    void shouldReadOnlyTheNewestOfSeveralVersionsThatArriveTogether() throws InterruptedException {
        readVersionOne();
        store.enqueueWatchResult(Optional.of(
                new Changes(List.of(change(configuration(2, 7)), change(configuration(3, 8))), 8)));

        duty.runStep();

        assertThat(publishedVersions()).containsExactly(1L, 3L);
    }

    @Test
    void shouldListUntilNothingIsNewAfterSeveralVersionsArrivedTogether() throws InterruptedException {
        readVersionOne();
        store.enqueueWatchResult(Optional.of(
                new Changes(List.of(change(configuration(2, 7)), change(configuration(3, 8))), 8)));
        duty.runStep();
        store.enqueueListing(new Listing(List.of(configuration(6, 12)), 12));
        store.enqueueListing(new Listing(List.of(configuration(6, 12)), 12));
        store.enqueueWatchResult(Optional.of(new Changes(List.of(change(configuration(7, 14))), 14)));

        duty.runStep();
        duty.runStep();
        duty.runStep();

        assertThat(publishedVersions()).containsExactly(1L, 3L, 6L, 7L);
    }

    @Test
    void shouldPublishChangesToTheOtherRouters() throws InterruptedException {
        readVersionOne();
        store.enqueueWatchResult(Optional.of(new Changes(List.of(change(configuration(2, 7))), 7)));

        duty.runStep();

        assertThat(published).last().satisfies(update -> {
            assertThat(update.revision()).isEqualTo(7);
            assertThat(update.table().appliesTo(table(1))).isTrue();
            assertThat(update.table().applyTo(table(1))).isEqualTo(table(2));
        });
    }

    @Test
    void shouldEndAnEvacuationThatIsMissingFromAListing() throws InterruptedException {
        readVersionOne();
        guard.confirm(new StoreProgress("op/", 9));
        updates.put(update(9, 1, 1, Set.of("z1")));
        duty.runStep();
        Thread.sleep(ConfirmedWatchGuard.CONFIRMATION_TIMEOUT_MILLIS);
        store.enqueueListing(new Listing(List.of(configuration(1, 5)), 12));

        duty.runStep();
        duty.runStep();

        assertThat(events).last().isEqualTo(new ServingEvent.EvacuationsChanged(Set.of()));
    }

    /** Decodes configurations that consist of a version number. */
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
