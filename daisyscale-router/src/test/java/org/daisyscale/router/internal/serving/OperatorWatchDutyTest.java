package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.daisyscale.router.internal.serving.NumberedConfigurations.change;
import static org.daisyscale.router.internal.serving.NumberedConfigurations.configuration;
import static org.daisyscale.router.internal.serving.NumberedConfigurations.table;
import static org.daisyscale.router.internal.serving.NumberedConfigurations.update;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.daisyscale.core.peer.PeerMessage.OperatorUpdate;
import org.daisyscale.core.peer.PeerMessage.StoreProgress;
import org.daisyscale.core.platform.CoordinationStore.Changes;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.Listing;
import org.daisyscale.core.serving.ConfigurationSource;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

class OperatorWatchDutyTest {
    private static final WatchReports NO_REPORTS = new WatchReports((event, detail) -> {}, result -> {});
    /** The time limit for a confirmed configuration to come into force, in milliseconds. */
    private static final long APPLY_LIMIT_MILLIS = 2_000;
    /** The interval of the controller's reports while the configuration changes steadily, in milliseconds. */
    private static final long REPORT_INTERVAL_MILLIS = 200;

    private final ScriptedStore store = new ScriptedStore();
    private final List<ServingEvent> events = new ArrayList<>();
    private final List<OperatorUpdate> published = new ArrayList<>();
    private final Ring<ControllerUpdate> updates = new ArrayRing<>("updates", 4);
    private final ConfirmedWatchGuard guard =
            new ConfirmedWatchGuard("op/", progress -> {}, () -> false, nanos -> {}, System::nanoTime);
    private final OperatorWatchDuty duty = createDuty(guard, updates);

    private OperatorWatchDuty createDuty(ConfirmedWatchGuard itsGuard, Ring<ControllerUpdate> itsUpdates) {
        return new OperatorWatchDuty(
                store,
                "op/",
                itsGuard,
                0,
                itsUpdates,
                new OperatorState(new NumberedConfigurations(), events::add, new Readiness()),
                published::add,
                NO_REPORTS);
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

    /** Guards against incident DENIED: a router kept a version that the new controller had skipped. */
    @Test
    void shouldReadTheStoreInTimeWhenUpdatesThatDoNotApplyKeepComing() throws InterruptedException {
        AtomicLong clockNanos = new AtomicLong();
        ConfirmedWatchGuard clockedGuard =
                new ConfirmedWatchGuard("op/", progress -> {}, () -> false, nanos -> {}, clockNanos::get);
        Ring<ControllerUpdate> reports = new PeriodicRing<>(clockNanos, REPORT_INTERVAL_MILLIS, number -> {
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

    /** Guards against a long watch, during which the updates of the controller wait unread if its response is lost. */
    @Tag("known-red")
    @Test
    void shouldStartNoLongWatchWhenTheControllerIsHeardJustBeforeIt() throws InterruptedException {
        StoreProgress progress = new StoreProgress("op/", 5);
        AtomicLong nowNanos = new AtomicLong();
        AtomicReference<Runnable> duringCheck = new AtomicReference<>(() -> {});
        ConfirmedWatchGuard hearing = new ConfirmedWatchGuard("op/", unused -> {}, () -> false, nanos -> {}, () -> {
            long readNanos = nowNanos.get();
            duringCheck.getAndSet(() -> {}).run();
            return readNanos;
        });
        OperatorState state = new OperatorState(new NumberedConfigurations(), events::add, new Readiness());
        OperatorWatchDuty hearingDuty =
                new OperatorWatchDuty(store, "op/", hearing, 0, updates, state, published::add, NO_REPORTS);
        hearing.confirm(progress);
        store.enqueueListing(new Listing(List.of(configuration(1, 5)), 5));
        hearingDuty.runStep();
        nowNanos.addAndGet(Duration.ofMillis(ConfirmedWatchGuard.CONFIRMATION_TIMEOUT_MILLIS)
                .toNanos());
        duringCheck.set(() -> hearing.confirm(progress));
        store.enqueueWatchResult(Optional.of(new Changes(List.of(), 5)));

        hearingDuty.runStep();

        assertThat(store.lastWait())
                .isLessThanOrEqualTo(Duration.ofMillis(ConfirmedWatchGuard.UNCONFIRMED_WAIT_MILLIS));
    }

    /** Guards against an evacuation that never ends at a router to which the controller sent the end. */
    @Tag("known-red")
    @Test
    void shouldEndAnEvacuationWhoseEndTheControllerFoundInAListing() throws InterruptedException {
        Item evacuation = new Item("op/evacuate/z1", new byte[0], 7);
        store.enqueueListing(new Listing(List.of(configuration(1, 5), evacuation), 7));
        store.enqueueWatchResult(Optional.empty());
        store.enqueueListing(new Listing(List.of(configuration(1, 5)), 8));
        ScriptedStore followerStore = new ScriptedStore();
        followerStore.enqueueListing(new Listing(List.of(configuration(1, 5), evacuation), 7));
        List<ServingEvent> followerEvents = new ArrayList<>();
        OperatorState followerState =
                new OperatorState(new NumberedConfigurations(), followerEvents::add, new Readiness());
        OperatorWatchDuty follower =
                new OperatorWatchDuty(followerStore, "op/", guard, 0, updates, followerState, update -> {}, NO_REPORTS);
        follower.runStep();
        duty.runStep();
        duty.runStep();

        duty.runStep();
        updates.put(new ControllerUpdate("r7", published.get(published.size() - 1)));
        guard.confirm(
                new StoreProgress("op/", published.get(published.size() - 1).revision()));
        follower.runStep();

        assertThat(followerEvents).last().isEqualTo(new ServingEvent.EvacuationsChanged(Set.of()));
    }
}
