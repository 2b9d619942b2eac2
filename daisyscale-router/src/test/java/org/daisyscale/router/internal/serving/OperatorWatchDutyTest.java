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
import org.daisyscale.core.serving.ConfigurationSource;
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
    private final List<ServingEvent> events = new ArrayList<>();
    private final List<OperatorUpdate> published = new ArrayList<>();
    private final List<String> lines = new ArrayList<>();
    private final Ring<ControllerUpdate> updates = new ArrayRing<>("updates", 4);
    private final ConfirmedWatchGuard guard =
            new ConfirmedWatchGuard("op/", progress -> {}, () -> false, nanos -> {}, System::nanoTime);
    private final OperatorWatchDuty duty = new OperatorWatchDuty(
            store,
            "op/",
            guard,
            0,
            updates,
            new OperatorState(new NumbersDecoder(), events::add, new Readiness()),
            published::add,
            (event, detail) -> lines.add(event + " " + detail));

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

    private static ControllerUpdate update(long revision, long fromVersion, long version, Set<String> evacuated) {
        RoutingTableChange change = new RoutingTableChange(
                Set.copyOf(List.of(fromVersion, version)),
                version,
                table(version).routes(),
                Set.of(),
                Map.of(),
                LIMITS);
        return new ControllerUpdate("r7", new OperatorUpdate(revision, change, evacuated));
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
    void shouldSayWhereEachVersionOfTheConfigurationComesFrom() throws InterruptedException {
        readVersionOne();
        guard.confirm(new StoreProgress("op/", 9));
        updates.put(update(9, 1, 2, Set.of()));

        duty.runStep();

        assertThat(events)
                .containsExactly(
                        new ServingEvent.TableChanged(table(1), ConfigurationSource.fromStore(5)),
                        new ServingEvent.TableChanged(table(2), ConfigurationSource.fromController("r7", 9)));
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

    private List<String> linesOf(String event) {
        return lines.stream().filter(line -> line.startsWith(event + " ")).toList();
    }

    /** Guards against a router that drops each update of a new controller while its log says nothing. */
    @Test
    void shouldReportAnUpdateThatDoesNotApplyOnceForTheVersionThatIsHeld() throws InterruptedException {
        readVersionOne();
        guard.confirm(new StoreProgress("op/", 9));
        updates.put(update(9, 2, 3, Set.of()));
        updates.put(update(10, 3, 4, Set.of()));
        updates.put(update(11, 4, 5, Set.of()));

        duty.runStep();
        duty.runStep();
        duty.runStep();

        assertThat(linesOf("configuration-update-skipped"))
                .containsExactly("configuration-update-skipped heldVersion=1 heldRevision=6 fromVersions=2,3"
                        + " toVersion=3 revision=9 controller=r7 reason=does-not-apply skippedBefore=0");
    }

    @Test
    void shouldCountTheUpdatesThatDidNotApplyOnceTheConfigurationIsReadAgain() throws InterruptedException {
        readVersionOne();
        updates.put(update(9, 2, 3, Set.of()));
        updates.put(update(10, 3, 4, Set.of()));
        guard.confirm(new StoreProgress("op/", 10));
        duty.runStep();
        duty.runStep();
        Thread.sleep(ConfirmedWatchGuard.MAX_LAG_MILLIS + 10);
        store.enqueueListing(new Listing(List.of(configuration(4, 10)), 11));

        duty.runStep();
        duty.runStep();

        assertThat(linesOf("configuration-caught-up"))
                .containsExactly("configuration-caught-up version=4 revision=11 skippedBefore=1");
    }

    @Test
    void shouldReportAnUpdateThatIsOlderThanWhatWasRead() throws InterruptedException {
        store.enqueueListing(new Listing(List.of(configuration(3, 9)), 12));
        updates.put(update(8, 2, 3, Set.of()));

        duty.runStep();

        assertThat(linesOf("configuration-update-skipped"))
                .singleElement()
                .asString()
                .contains("heldVersion=3 heldRevision=12 ", " revision=8 ", " reason=older ");
    }

    @Test
    void shouldReportAnUpdateThatArrivesBeforeAnyConfigurationIsKnown() throws InterruptedException {
        updates.put(update(8, 2, 3, Set.of()));

        duty.runStep();

        assertThat(linesOf("configuration-update-skipped"))
                .singleElement()
                .asString()
                .contains("heldVersion=0 ", " reason=no-configuration ");
    }

    @Test
    void shouldWriteNoLineAboutAnUpdateThatApplies() throws InterruptedException {
        readVersionOne();
        guard.confirm(new StoreProgress("op/", 9));
        updates.put(update(9, 1, 2, Set.of()));

        duty.runStep();

        assertThat(linesOf("configuration-update-skipped")).isEmpty();
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
    void shouldReportThatTheControllerIsFollowedAndThatItFellSilent() throws InterruptedException {
        readVersionOne();
        guard.confirm(new StoreProgress("op/", 5));
        duty.runStep();
        Thread.sleep(ConfirmedWatchGuard.CONFIRMATION_TIMEOUT_MILLIS);

        duty.runStep();
        duty.runStep();
        duty.runStep();

        assertThat(sources())
                .containsExactly(
                        "store not-listed",
                        "controller controller-confirms",
                        "store controller-silent",
                        "store" + " store-failed");
    }

    @Test
    void shouldReportThatTheControllerHasReadFurther() throws InterruptedException {
        readVersionOne();
        guard.confirm(new StoreProgress("op/", 9));
        duty.runStep();
        Thread.sleep(ConfirmedWatchGuard.MAX_LAG_MILLIS + 10);
        store.enqueueListing(new Listing(List.of(configuration(3, 9)), 9));

        duty.runStep();
        duty.runStep();
        duty.runStep();

        assertThat(sources())
                .containsExactly(
                        "store not-listed",
                        "controller controller-confirms",
                        "store controller-ahead",
                        "controller controller-confirms");
    }

    /** Returns the sources of the view and the reasons for them in the order of the lines. */
    private List<String> sources() {
        return linesOf("view-source-changed").stream()
                .map(line -> line.replaceAll(".* source=(\\S+) reason=(\\S+) .*", "$1 $2"))
                .toList();
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
