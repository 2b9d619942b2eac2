package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.daisyscale.core.following.ItemView;
import org.daisyscale.core.following.ViewFollower;
import org.daisyscale.core.following.ViewListener;
import org.daisyscale.core.following.ViewUpdate;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.Listing;
import org.daisyscale.core.serving.EventTime;
import org.daisyscale.router.internal.following.FollowDuty;
import org.daisyscale.router.internal.following.FollowEvent;
import org.daisyscale.router.internal.following.FollowReports;
import org.daisyscale.router.internal.following.ItemFailureListener;
import org.daisyscale.router.internal.ring.Ring;
import org.junit.jupiter.api.Test;

class FollowServersTest {
    private static final FollowReports NO_REPORTS = new FollowReports((event, detail) -> {}, result -> {}, nanos -> {});
    /** The time limit for an accepted registration or removal to come into force, in milliseconds. */
    private static final long APPLY_LIMIT_MILLIS = 2_000;
    /** The interval of the controller's reports while servers change steadily, in milliseconds. */
    private static final long REPORT_INTERVAL_MILLIS = 200;
    /** The longest time after which a router reads the store when the controller is silent, in milliseconds. */
    private static final long MAX_SILENCE_MILLIS = ViewFollower.TOLD_OVERDUE_MILLIS + ViewFollower.READ_SPREAD_MILLIS;

    private final AtomicLong clockNanos = new AtomicLong(5);
    private final ScriptedStore store = new ScriptedStore();
    private final List<String> notifications = new ArrayList<>();
    private final List<EventTime> writtenAt = new ArrayList<>();
    private final Ring<FollowEvent> inbox = PeriodicRing.ofOffered(clockNanos);
    private final RecordingPeers peers = new RecordingPeers();
    private final ControllerView controller = ControllerView.ofServers();
    private final ViewListener listener = new ViewListener() {
        @Override
        public void onWritten(Item item, EventTime itemWrittenAt) {
            writtenAt.add(itemWrittenAt);
            if (item.key().equals("servers/odd")) {
                throw new IllegalStateException("the listener cannot handle this item");
            }
            notifications.add("written " + item.key() + "@" + item.revision());
        }

        @Override
        public void onRemoved(String key) {
            notifications.add("removed " + key);
        }

        @Override
        public void onComplete() {
            notifications.add("complete");
        }
    };
    private final FollowDuty duty = createDuty(inbox);

    private FollowDuty createDuty(Ring<FollowEvent> itsInbox) {
        return new FollowDuty(
                "servers/",
                new ItemView("servers/", new ItemFailureListener(listener)),
                new ViewFollower(new SplittableRandom(1), 0, false, clockNanos.get()),
                itsInbox,
                new InlineStoreReader(store, "servers/", itsInbox),
                peers,
                NO_REPORTS,
                clockNanos::get);
    }

    private static Item item(String key, long revision) {
        return new Item(key, new byte[0], revision);
    }

    private static CoordinationStore.Changes removed(String key, long revision) {
        return new CoordinationStore.Changes(
                List.of(new CoordinationStore.ItemChange(key, revision, Optional.empty())), revision);
    }

    private void listOneServer() throws InterruptedException {
        store.enqueueListing(new Listing(List.of(item("servers/a", 4)), 5));
        duty.runStep();
    }

    private void listOneServerAndHearTheController() throws InterruptedException {
        inbox.offer(controller.list(5, item("servers/a", 4)).report());
        listOneServer();
    }

    private void advance(long millis) {
        clockNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    private void runStepsFor(long millis) throws InterruptedException {
        long endNanos = clockNanos.get() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (clockNanos.get() - endNanos < 0) {
            duty.runStep();
        }
    }

    /** Runs steps until the store was called once more. */
    private void runUntilNextCall() throws InterruptedException {
        int count = store.callCount();
        while (store.callCount() == count) {
            duty.runStep();
        }
    }

    @Test
    void shouldNotifyOfItemsAndOfTheirRemoval() throws InterruptedException {
        store.enqueueListing(new Listing(List.of(item("servers/a", 4)), 5));
        store.enqueueWatchResult(Optional.of(removed("servers/a", 6)));

        duty.runStep();
        duty.runStep();

        assertThat(notifications).containsExactly("written servers/a@4", "complete", "removed servers/a", "complete");
    }

    /** Guards against a leaving server whose time counts only from when a router hears of it, after a silence. */
    @Test
    void shouldSayWhenAnItemMayHaveBeenWritten() throws InterruptedException {
        store.enqueueListing(new Listing(List.of(item("servers/a", 4)), 5));
        duty.runStep();
        runStepsFor(1_200);
        store.enqueueListing(new Listing(List.of(item("servers/a", 7)), 8));

        runUntilNextCall();

        assertThat(notifications).contains("written servers/a@7");
        assertThat(writtenAt).last().matches(time -> time.isKnown() && time.mayBePast(1_200, clockNanos.get()));
    }

    @Test
    void shouldFollowTheOtherItemsWhenTheListenerFailsOnOne() throws InterruptedException {
        store.enqueueListing(new Listing(List.of(item("servers/odd", 4), item("servers/a", 5)), 5));
        store.enqueueWatchResult(Optional.of(removed("servers/a", 6)));

        duty.runStep();
        duty.runStep();

        assertThat(notifications).containsExactly("written servers/a@5", "complete", "removed servers/a", "complete");
    }

    @Test
    void shouldListAgainWhenTheHistoryIsGone() throws InterruptedException {
        store.enqueueListing(new Listing(List.of(item("servers/a", 4)), 5));
        store.enqueueWatchResult(Optional.empty());
        store.enqueueListing(new Listing(List.of(item("servers/b", 8)), 9));

        duty.runStep();
        duty.runStep();
        duty.runStep();

        assertThat(notifications).contains("removed servers/a", "written servers/b@8");
    }

    @Test
    void shouldListAgainWhenTheRevisionRoseAndTheWatchReportedNoChange() throws InterruptedException {
        store.enqueueListing(new Listing(List.of(item("servers/a", 4)), 5));
        store.enqueueWatchResult(Optional.of(new CoordinationStore.Changes(List.of(), 8)));
        store.enqueueListing(new Listing(List.of(item("servers/a", 7)), 9));

        duty.runStep();
        duty.runStep();
        duty.runStep();

        assertThat(notifications).contains("written servers/a@7");
    }

    @Test
    void shouldListAgainAfterAFailedWatch() throws InterruptedException {
        store.enqueueListing(new Listing(List.of(item("servers/a", 4)), 5));
        store.enqueueListing(new Listing(List.of(item("servers/a", 7)), 9));

        duty.runStep();
        duty.runStep();
        runUntilNextCall();

        assertThat(notifications).contains("written servers/a@7");
    }

    @Test
    void shouldKeepItemsThatLapsedInALongOutageDuringTheGracePeriod() throws InterruptedException {
        store.enqueueListing(new Listing(List.of(item("servers/a", 4)), 5));
        duty.runStep();
        runStepsFor(1_200);
        store.enqueueListing(new Listing(List.of(), 20));

        runUntilNextCall();

        assertThat(notifications).doesNotContain("removed servers/a");
    }

    @Test
    void shouldNotifyOfARemovalOnceTheGracePeriodIsOver() throws InterruptedException {
        store.enqueueListing(new Listing(List.of(item("servers/a", 4)), 5));
        duty.runStep();
        runStepsFor(1_200);
        store.enqueueListing(new Listing(List.of(item("servers/a", 4)), 20));
        runUntilNextCall();
        advance(1_500);

        store.enqueueWatchResult(Optional.of(removed("servers/a", 21)));
        runUntilNextCall();
        assertThat(notifications).doesNotContain("removed servers/a");
        advance(600);
        store.enqueueWatchResult(Optional.of(new CoordinationStore.Changes(List.of(), 21)));
        runUntilNextCall();

        assertThat(notifications).contains("removed servers/a");
    }

    @Test
    void shouldApplyAChangeThatTheControllerReadWithoutACallToTheStore() throws InterruptedException {
        listOneServerAndHearTheController();
        inbox.offer(controller.list(9, item("servers/b", 9)).report());
        inbox.offer(controller.updateFrom(5));

        duty.runStep();

        assertThat(notifications)
                .containsExactly(
                        "written servers/a@4", "complete", "removed servers/a", "written servers/b@9", "complete");
        assertThat(store.callCount()).isEqualTo(1);
    }

    /** Guards against a router that drops what the controller sends until it reaches the store again. */
    @Test
    void shouldApplyAChangeThatTheControllerReadWhileTheStoreIsUnreachable() throws InterruptedException {
        listOneServer();
        duty.runStep();
        controller.list(5, item("servers/a", 4)).list(9, item("servers/b", 9));
        inbox.offer(controller.report());
        inbox.offer(controller.updateFrom(5));

        duty.runStep();

        assertThat(notifications).contains("written servers/b@9", "removed servers/a");
    }

    @Test
    void shouldListAgainWhenAChangeBeforeTheOneOfTheControllerIsMissingAndNoAnswerComes() throws InterruptedException {
        listOneServerAndHearTheController();
        inbox.offer(controller
                .list(9, item("servers/a", 4), item("servers/b", 9), item("servers/c", 7))
                .report());
        inbox.offer(controller.updateFrom(8));
        store.enqueueListing(new Listing(List.of(item("servers/c", 7)), 9));

        duty.runStep();
        runStepsFor(MAX_SILENCE_MILLIS);

        assertThat(notifications).doesNotContain("written servers/b@9").contains("written servers/c@7");
        assertThat(peers.holdings()).anyMatch(PeerMessage.ViewHeld::needsWhole);
    }

    /** Guards against incident DENIED among servers: a router that missed a change kept its view of them. */
    @Test
    void shouldLearnOfARegisteredServerInTimeWhenChangesThatDoNotApplyKeepComing() throws InterruptedException {
        followChangesThatDoNotApply(List.of(item("servers/a", 4), item("servers/c", 7)));

        assertThat(notifications)
                .as("what was known within %d ms", APPLY_LIMIT_MILLIS)
                .contains("written servers/c@7");
    }

    @Test
    void shouldLearnOfARemovedServerInTimeWhenChangesThatDoNotApplyKeepComing() throws InterruptedException {
        followChangesThatDoNotApply(List.of());

        assertThat(notifications)
                .as("what was known within %d ms", APPLY_LIMIT_MILLIS)
                .contains("removed servers/a");
    }

    /** Lists one server and then receives changes that lack one of the listing, while the store has {@code items}. */
    private void followChangesThatDoNotApply(List<Item> items) throws InterruptedException {
        Ring<FollowEvent> reports = new PeriodicRing<>(clockNanos, REPORT_INTERVAL_MILLIS, number -> {
            controller.list(7 + number, item("servers/b", 7 + number), item("servers/c", 7));
            return List.of(controller.report(), controller.updateFrom(7 + number));
        });
        FollowDuty follower = createDuty(reports);
        store.enqueueListing(new Listing(List.of(item("servers/a", 4)), 5));
        store.enqueueListing(new Listing(items, 17));
        reports.offer(controller.list(5, item("servers/a", 4)).report());
        controller.list(7, item("servers/c", 7));
        long endNanos = clockNanos.get() + TimeUnit.MILLISECONDS.toNanos(APPLY_LIMIT_MILLIS);

        while (clockNanos.get() - endNanos < 0) {
            follower.runStep();
        }
    }

    @Test
    void shouldNotTakeBackAServerThatIsGoneByAnOlderChange() throws InterruptedException {
        store.enqueueListing(new Listing(List.of(), 12));
        duty.runStep();
        controller.list(4).list(9, item("servers/a", 9));
        inbox.offer(controller.report());
        inbox.offer(controller.updateFrom(4));

        duty.runStep();

        assertThat(notifications).containsExactly("complete");
    }

    @Test
    void shouldReadTheStoreOnceTheControllerIsSilent() throws InterruptedException {
        listOneServerAndHearTheController();
        duty.runStep();
        advance(MAX_SILENCE_MILLIS);
        store.enqueueListing(new Listing(List.of(item("servers/b", 8)), 9));

        duty.runStep();

        assertThat(notifications).contains("written servers/b@8");
    }

    /** Guards against servers that are dropped after an outage whose beginning only the controller noticed. */
    @Test
    void shouldCountAnOutageFromTheLastReportOfTheController() throws InterruptedException {
        listOneServerAndHearTheController();
        duty.runStep();
        advance(MAX_SILENCE_MILLIS);
        duty.runStep();
        store.enqueueListing(new Listing(List.of(item("servers/b", 8)), 9));

        runUntilNextCall();

        assertThat(notifications).contains("written servers/b@8").doesNotContain("removed servers/a");
    }

    @Test
    void shouldSendAFollowerWhatWasReadSinceWhatItHolds() throws InterruptedException {
        peers.setController(true);
        listOneServer();
        inbox.offer(new FollowEvent.Held(
                "r2", controller.list(5, item("servers/a", 4)).version(), false));
        store.enqueueWatchResult(Optional.of(removed("servers/a", 6)));

        duty.runStep();

        assertThat(peers.updates())
                .containsExactly(new ViewUpdate(
                        "servers/", controller.list(6).version(), false, List.of(), Set.of("servers/a"), List.of()));
        assertThat(peers.broadcasts())
                .last()
                .isEqualTo(new PeerMessage.ViewReport("servers/", controller.version(), 0));
    }
}
