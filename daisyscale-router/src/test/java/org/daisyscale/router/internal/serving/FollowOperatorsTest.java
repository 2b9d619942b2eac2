package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.daisyscale.router.internal.serving.NumberedConfigurations.change;
import static org.daisyscale.router.internal.serving.NumberedConfigurations.configuration;
import static org.daisyscale.router.internal.serving.NumberedConfigurations.evacuation;
import static org.daisyscale.router.internal.serving.NumberedConfigurations.table;
import static org.daisyscale.router.internal.serving.NumberedConfigurations.update;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import org.daisyscale.core.following.ViewFollower;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.platform.CoordinationStore.Changes;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.Listing;
import org.daisyscale.core.serving.ConfigurationSource;
import org.daisyscale.core.serving.EventTime;
import org.daisyscale.core.serving.RoutingTableChange;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.following.FollowDuty;
import org.daisyscale.router.internal.following.FollowEvent;
import org.daisyscale.router.internal.following.FollowReports;
import org.daisyscale.router.internal.ring.Ring;
import org.junit.jupiter.api.Test;

class FollowOperatorsTest {
    private static final FollowReports NO_REPORTS = new FollowReports((event, detail) -> {}, result -> {}, nanos -> {});
    /** The time limit for a confirmed configuration to come into force, in milliseconds. */
    private static final long APPLY_LIMIT_MILLIS = 2_000;
    /** The interval of the controller's reports while the configuration changes steadily, in milliseconds. */
    private static final long REPORT_INTERVAL_MILLIS = 200;
    /** The longest time after which a router reads the store when the controller is silent, in milliseconds. */
    private static final long MAX_SILENCE_MILLIS = ViewFollower.TOLD_OVERDUE_MILLIS + ViewFollower.READ_SPREAD_MILLIS;

    private final AtomicLong clockNanos = new AtomicLong(5);
    private final ScriptedStore store = new ScriptedStore();
    private final List<ServingEvent> events = new ArrayList<>();
    private final Ring<FollowEvent> inbox = PeriodicRing.ofOffered(clockNanos);
    private final RecordingPeers peers = new RecordingPeers();
    private final ControllerView controller = ControllerView.ofOperators();
    private final FollowDuty duty = createDuty(inbox, clockNanos::get);

    private FollowDuty createDuty(Ring<FollowEvent> itsInbox, LongSupplier clock) {
        return createDuty(store, itsInbox, clock, events, peers);
    }

    private FollowDuty createDuty(
            ScriptedStore itsStore,
            Ring<FollowEvent> itsInbox,
            LongSupplier clock,
            List<ServingEvent> itsEvents,
            RecordingPeers itsPeers) {
        return new FollowDuty(
                "op/",
                new OperatorState(new NumberedConfigurations(), itsEvents::add, new Readiness()),
                new ViewFollower(new SplittableRandom(1), 0, true, clockNanos.get()),
                itsInbox,
                new InlineStoreReader(itsStore, "op/", itsInbox),
                itsPeers,
                NO_REPORTS,
                clock);
    }

    private void advance(long millis) {
        clockNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    private void runStepsFor(long millis) throws InterruptedException {
        runStepsFor(duty, millis);
    }

    private void runStepsFor(FollowDuty follower, long millis) throws InterruptedException {
        long endNanos = clockNanos.get() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (clockNanos.get() - endNanos < 0) {
            follower.runStep();
        }
    }

    private List<Long> publishedVersions() {
        return events.stream()
                .filter(ServingEvent.TableChanged.class::isInstance)
                .map(event -> ((ServingEvent.TableChanged) event).table().version())
                .toList();
    }

    private List<Set<String>> publishedEvacuations() {
        return events.stream()
                .filter(ServingEvent.EvacuationsChanged.class::isInstance)
                .map(event -> ((ServingEvent.EvacuationsChanged) event).dataCentres())
                .toList();
    }

    private void readVersionOne() throws InterruptedException {
        store.enqueueListing(new Listing(List.of(configuration(1, 5)), 6));
        duty.runStep();
    }

    private void readVersionOneAndHearTheController() throws InterruptedException {
        inbox.offer(controller.list(6, configuration(1, 5)).report());
        readVersionOne();
    }

    @Test
    void shouldApplyAnUpdateOfTheControllerWithoutACallToTheStore() throws InterruptedException {
        readVersionOneAndHearTheController();
        inbox.offer(controller.list(9, configuration(2, 9), evacuation("z1", 9)).report());
        inbox.offer(update(9, 1, 2, Set.of("z1")));

        duty.runStep();

        assertThat(publishedVersions()).containsExactly(1L, 2L);
        assertThat(publishedEvacuations()).last().isEqualTo(Set.of("z1"));
        assertThat(store.callCount()).isEqualTo(1);
    }

    @Test
    void shouldSayWhereEachVersionOfTheConfigurationComesFrom() throws InterruptedException {
        readVersionOne();
        inbox.offer(controller.list(9, configuration(2, 9)).report());
        inbox.offer(update(9, 1, 2, Set.of()));

        duty.runStep();

        assertThat(events)
                .containsExactly(
                        new ServingEvent.TableChanged(table(1), ConfigurationSource.fromStore(5)),
                        new ServingEvent.EvacuationsChanged(Set.of()),
                        new ServingEvent.TableChanged(table(2), ConfigurationSource.fromController("r7", 9)));
    }

    @Test
    void shouldApplyAnUpdateOfTheControllerWhileTheStoreIsUnreachable() throws InterruptedException {
        readVersionOne();
        duty.runStep();
        inbox.offer(controller.list(9, configuration(2, 9)).report());
        inbox.offer(update(9, 1, 2, Set.of()));

        duty.runStep();

        assertThat(publishedVersions()).containsExactly(1L, 2L);
    }

    @Test
    void shouldReadTheStoreWhenAnUpdateDoesNotApplyAndNoAnswerComes() throws InterruptedException {
        readVersionOneAndHearTheController();
        inbox.offer(controller.list(9, configuration(3, 9)).report());
        inbox.offer(update(9, 2, 3, Set.of()));
        duty.runStep();
        store.enqueueListing(new Listing(List.of(configuration(3, 9)), 9));

        runStepsFor(MAX_SILENCE_MILLIS);

        assertThat(publishedVersions()).containsExactly(1L, 3L);
        assertThat(peers.holdings()).anyMatch(PeerMessage.ViewHeld::needsWhole);
    }

    @Test
    void shouldApplyTheWholeViewThatAnswersAnUpdateWhichDoesNotApply() throws InterruptedException {
        readVersionOneAndHearTheController();
        inbox.offer(controller.list(9, configuration(3, 9)).report());
        inbox.offer(update(9, 2, 3, Set.of()));
        duty.runStep();
        inbox.offer(controller.wholeUpdate());

        duty.runStep();

        assertThat(publishedVersions()).containsExactly(1L, 3L);
        assertThat(store.callCount()).isEqualTo(1);
    }

    /** Guards against incident DENIED: a router kept a version that the new controller had skipped. */
    @Test
    void shouldReadTheStoreInTimeWhenUpdatesThatDoNotApplyKeepComing() throws InterruptedException {
        Ring<FollowEvent> reports = new PeriodicRing<>(
                clockNanos,
                REPORT_INTERVAL_MILLIS,
                number -> List.of(
                        controller
                                .list(7 + number, configuration(2 + number, 7 + number))
                                .report(),
                        update(7 + number, 1 + number, 2 + number, Set.of())));
        FollowDuty follower = createDuty(reports, clockNanos::get);
        store.enqueueListing(new Listing(List.of(configuration(1, 5)), 6));
        store.enqueueListing(new Listing(List.of(configuration(12, 17)), 17));
        reports.offer(controller.list(6, configuration(1, 5)).report());

        runStepsFor(follower, APPLY_LIMIT_MILLIS);

        assertThat(publishedVersions())
                .as("versions in force within %d ms", APPLY_LIMIT_MILLIS)
                .startsWith(1L, 12L);
    }

    @Test
    void shouldIgnoreAnUpdateThatIsOlderThanWhatWasRead() throws InterruptedException {
        store.enqueueListing(new Listing(List.of(configuration(3, 9)), 12));
        duty.runStep();
        inbox.offer(controller.list(8, configuration(4, 8), evacuation("z1", 8)).report());
        inbox.offer(update(8, 3, 4, Set.of("z1")));

        duty.runStep();

        assertThat(publishedVersions()).containsExactly(3L);
        assertThat(publishedEvacuations()).containsExactly(Set.of());
    }

    @Test
    void shouldReadTheStoreOnceTheControllerIsSilent() throws InterruptedException {
        readVersionOneAndHearTheController();
        duty.runStep();
        advance(MAX_SILENCE_MILLIS);
        store.enqueueListing(new Listing(List.of(configuration(2, 9)), 9));

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
    void shouldSendAFollowerTheChangeFromWhatItHolds() throws InterruptedException {
        peers.setController(true);
        readVersionOne();
        inbox.offer(new FollowEvent.Held(
                "r2", controller.list(6, configuration(1, 5)).version(), false));
        store.enqueueWatchResult(Optional.of(new Changes(List.of(change(configuration(2, 7))), 7)));

        duty.runStep();

        assertThat(peers.updates()).singleElement().satisfies(update -> {
            RoutingTableChange sent = update.tables().get(0).change();
            assertThat(update.version())
                    .isEqualTo(controller.list(7, configuration(2, 7)).version());
            assertThat(sent.appliesTo(table(1))).isTrue();
            assertThat(sent.applyTo(table(1))).isEqualTo(table(2));
        });
    }

    @Test
    void shouldEndAnEvacuationThatIsMissingFromAListing() throws InterruptedException {
        readVersionOneAndHearTheController();
        inbox.offer(controller.list(9, configuration(1, 5), evacuation("z1", 9)).report());
        inbox.offer(controller.updateFrom(6));
        duty.runStep();
        assertThat(publishedEvacuations()).last().isEqualTo(Set.of("z1"));
        advance(MAX_SILENCE_MILLIS);
        store.enqueueListing(new Listing(List.of(configuration(1, 5)), 12));

        duty.runStep();

        assertThat(events).last().isEqualTo(new ServingEvent.EvacuationsChanged(Set.of()));
    }

    /** Guards against a long watch, during which the updates of the controller wait unread if its response is lost. */
    @Test
    void shouldStartNoLongWatchWhenTheControllerIsHeardJustBeforeIt() throws InterruptedException {
        AtomicReference<Runnable> duringCheck = new AtomicReference<>(() -> {});
        FollowDuty hearingDuty = createDuty(inbox, () -> {
            long readNanos = clockNanos.get();
            duringCheck.getAndSet(() -> {}).run();
            return readNanos;
        });
        store.enqueueListing(new Listing(List.of(configuration(1, 5)), 6));
        hearingDuty.runStep();
        advance(MAX_SILENCE_MILLIS);
        duringCheck.set(
                () -> inbox.offer(controller.list(6, configuration(1, 5)).report()));
        store.enqueueWatchResult(Optional.of(new Changes(List.of(), 6)));

        hearingDuty.runStep();
        hearingDuty.runStep();

        assertThat(store.lastWait()).isBetween(Duration.ofMillis(1), Duration.ofMillis(ViewFollower.ALONE_WAIT_MILLIS));
        assertThat(store.callCount()).isEqualTo(2);
    }

    /** Guards against an evacuation that never ends at a router to which the controller sent the end. */
    @Test
    void shouldEndAnEvacuationWhoseEndTheControllerFoundInAListing() throws InterruptedException {
        Item evacuation = evacuation("z1", 7);
        store.enqueueListing(new Listing(List.of(configuration(1, 5), evacuation), 7));
        store.enqueueWatchResult(Optional.empty());
        store.enqueueListing(new Listing(List.of(configuration(1, 5)), 8));
        ScriptedStore followerStore = new ScriptedStore();
        followerStore.enqueueListing(new Listing(List.of(configuration(1, 5), evacuation), 7));
        List<ServingEvent> followerEvents = new ArrayList<>();
        Ring<FollowEvent> followerInbox = PeriodicRing.ofOffered(clockNanos);
        RecordingPeers followerPeers = new RecordingPeers();
        FollowDuty follower = createDuty(followerStore, followerInbox, clockNanos::get, followerEvents, followerPeers);
        followerInbox.offer(controller.list(7, configuration(1, 5), evacuation).report());
        follower.runStep();
        follower.runStep();
        peers.setController(true);
        duty.runStep();
        duty.runStep();
        PeerMessage.ViewHeld held = followerPeers.holdings().get(0);
        inbox.offer(new FollowEvent.Held("r2", held.version(), held.needsWhole()));

        duty.runStep();
        followerInbox.offer(ControllerView.updated(peers.updates().get(0)));
        follower.runStep();

        assertThat(followerEvents).last().isEqualTo(new ServingEvent.EvacuationsChanged(Set.of()));
    }

    /** Guards against an evacuation that counts from when a router lists it, which may be long after (EVAC). */
    @Test
    void shouldNotTakeAnEvacuationInItsFirstListingForANewOne() throws InterruptedException {
        store.enqueueListing(new Listing(List.of(configuration(1, 5), evacuation("z1", 6)), 6));

        duty.runStep();

        assertThat(lastEvacuations()).containsEntry("z1", EventTime.UNKNOWN);
    }

    @Test
    void shouldSayWhenAnEvacuationMayHaveBeenAcknowledgedThatItHearsOfLate() throws InterruptedException {
        readVersionOneAndHearTheController();
        duty.runStep();
        advance(MAX_SILENCE_MILLIS);
        store.enqueueListing(new Listing(List.of(configuration(1, 5), evacuation("z1", 9)), 9));

        duty.runStep();

        assertThat(lastEvacuations().get("z1"))
                .matches(time -> time.isKnown() && time.mayBePast(MAX_SILENCE_MILLIS, clockNanos.get()));
    }

    private Map<String, EventTime> lastEvacuations() {
        return events.stream()
                .filter(ServingEvent.EvacuationsChanged.class::isInstance)
                .map(event -> ((ServingEvent.EvacuationsChanged) event).evacuatedAtByDataCentre())
                .reduce((first, second) -> second)
                .orElseThrow();
    }
}
