package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongConsumer;
import java.util.stream.LongStream;
import org.daisyscale.core.following.ItemView;
import org.daisyscale.core.following.ViewContents;
import org.daisyscale.core.following.ViewFollower;
import org.daisyscale.core.following.ViewListener;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.serving.EventTime;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.duty.DutyThread;
import org.daisyscale.router.internal.following.FollowDuty;
import org.daisyscale.router.internal.following.FollowEvent;
import org.daisyscale.router.internal.following.FollowPeers;
import org.daisyscale.router.internal.following.FollowReports;
import org.daisyscale.router.internal.following.ThreadedStoreReader;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.daisyscale.router.internal.serving.StallingStore.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against changes that come into force too late at a router that reaches the store or the controller, because
 * the duty that follows them waits in a call to the store or is behind with the updates of the controller.
 */
class ChangesWhileTheStoreStallsTest {
    /** The time limit for a confirmed change to come into force, in milliseconds. */
    private static final long APPLY_LIMIT_MILLIS = 2_000;
    /** The longest time that a test waits for a change, in milliseconds. */
    private static final long MAX_WAIT_MILLIS = 12_000;

    private static final long CHANGE_BATCH_MILLIS = 200;
    private static final int OPERATOR_RING_CAPACITY = 16;
    private static final int SERVER_RING_CAPACITY = 64;
    /** The revision of version 0; each version of the configuration is one change. */
    private static final long FIRST_REVISION = 100;

    private static final FollowReports NO_REPORTS = new FollowReports((event, detail) -> {}, result -> {}, nanos -> {});

    private final HttpLoop loop = HttpLoop.start("test-calls");
    private final Ring<FollowEvent> operatorEvents = new ArrayRing<>("follow-op/", OPERATOR_RING_CAPACITY);
    private final Ring<FollowEvent> serverEvents = new ArrayRing<>("follow-servers/", SERVER_RING_CAPACITY);
    private final AtomicLong writtenVersion = new AtomicLong(1);
    private final AtomicInteger listCount = new AtomicInteger();
    private final CountDownLatch stalled = new CountDownLatch(1);
    private final NavigableMap<Long, Long> inForceNanos = new ConcurrentSkipListMap<>();
    private final List<AutoCloseable> opened = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable resource : opened) {
            resource.close();
        }
        loop.close();
    }

    /** The ways in which a call to the store takes long although the router reaches the store and the controller. */
    private enum Stall {
        UNANSWERED_WATCH,
        LISTING_BYTE_BY_BYTE,
        LISTING_OF_SLOW_PAGES
    }

    /** The ways in which a store that dropped its history answers a watch. */
    private enum DroppedHistory {
        GONE,
        CHANGES_WITHHELD
    }

    private static long revision(long version) {
        return FIRST_REVISION + version;
    }

    private static Item item(long version) {
        return NumberedConfigurations.configuration(version, revision(version));
    }

    /** Returns the update that applies to the versions from {@code firstFromVersion} on. */
    private static FollowEvent update(long firstFromVersion, long version) {
        Set<Long> fromVersions = new HashSet<>();
        for (long from = firstFromVersion; from <= version; from++) {
            fromVersions.add(from);
        }
        return NumberedConfigurations.update(revision(version), fromVersions, version, Set.of());
    }

    private static LongConsumer reads(AnsweringController controller) {
        return version -> controller.read(revision(version), item(version));
    }

    private StoreClient startStore(Function<String, Response> responses) throws IOException {
        StallingStore store = new StallingStore(responses);
        opened.add(store);
        return new StoreClient(loop, store.address(), new StallingStore.Dialect());
    }

    private Response listing() {
        long version = writtenVersion.get();
        return StallingStore.whole(200, StallingStore.listingBody(revision(version), false, item(version)), 0);
    }

    /** Answers the first listing at once, then stalls in the given way in the first call that can. */
    private Response answer(Stall stall, String target) {
        if (target.startsWith("/watch")) {
            if (stall == Stall.UNANSWERED_WATCH) {
                stalled.countDown();
                return StallingStore.unanswered();
            }
            return StallingStore.whole(410, "", 0);
        }
        boolean isFirstPage = target.endsWith("=");
        int number = isFirstPage ? listCount.incrementAndGet() : listCount.get();
        if (number != 2 || stall == Stall.UNANSWERED_WATCH) {
            return listing();
        }
        stalled.countDown();
        return stall == Stall.LISTING_BYTE_BY_BYTE ? StallingStore.byteByByte(100, 300) : page(target, isFirstPage);
    }

    /** Returns one of seven pages, each of which takes half a second. */
    private Response page(String target, boolean isFirstPage) {
        int number = isFirstPage ? 0 : Integer.parseInt(target.substring(target.lastIndexOf('-') + 1));
        Item last = new Item("op/page-" + (number + 1), new byte[] {'1'}, 1);
        return StallingStore.whole(200, StallingStore.listingBody(revision(1), number < 6, last), 500);
    }

    private FollowDuty operatorDuty(StoreClient store, FollowPeers peers) {
        Consumer<ServingEvent> events = event -> {
            if (event instanceof ServingEvent.TableChanged changed) {
                inForceNanos.putIfAbsent(changed.table().version(), System.nanoTime());
            }
        };
        OperatorState state = new OperatorState(new NumberedConfigurations(), events, new Readiness());
        return duty(store, "op/", operatorEvents, state, true, peers);
    }

    private FollowDuty duty(
            StoreClient store,
            String prefix,
            Ring<FollowEvent> inbox,
            ViewContents contents,
            boolean isListedWhileChanging,
            FollowPeers peers) {
        ThreadedStoreReader reader = ThreadedStoreReader.start(store, prefix, inbox);
        opened.add(0, reader);
        ViewFollower follower =
                new ViewFollower(new SplittableRandom(), CHANGE_BATCH_MILLIS, isListedWhileChanging, System.nanoTime());
        return new FollowDuty(prefix, contents, follower, inbox, reader, peers, NO_REPORTS, System::nanoTime);
    }

    private void start(DutyThread.Step step) {
        opened.add(0, DutyThread.start("test-follow", step));
    }

    private void runUntilTheFirstVersionIsInForce(FollowDuty duty) throws InterruptedException {
        while (inForceNanos.isEmpty()) {
            duty.runStep();
        }
    }

    /**
     * Writes {@code count} versions and returns the longest time until one of them came into force.
     *
     * @param report sends a version to the router
     * @param confirmation confirms the newest version to the router, after each report and then repeatedly
     */
    private long longestDelayMillis(
            long firstVersion, int count, long intervalMillis, LongConsumer report, LongConsumer confirmation)
            throws InterruptedException {
        long lastVersion = firstVersion + count - 1;
        Map<Long, Long> writtenNanos = new TreeMap<>();
        for (long version = firstVersion; version <= lastVersion; version++) {
            writtenNanos.put(version, System.nanoTime());
            writtenVersion.set(version);
            report.accept(version);
            confirmation.accept(version);
            Thread.sleep(intervalMillis);
        }
        long endNanos = System.nanoTime() + MAX_WAIT_MILLIS * 1_000_000L;
        while (inForceNanos.ceilingKey(lastVersion) == null && System.nanoTime() - endNanos < 0) {
            Thread.sleep(ViewFollower.CONTROLLER_WAIT_MILLIS);
            confirmation.accept(lastVersion);
        }
        long longestNanos = 0;
        for (Map.Entry<Long, Long> written : writtenNanos.entrySet()) {
            long atNanos = inForceNanos.tailMap(written.getKey()).values().stream()
                    .mapToLong(Long::longValue)
                    .min()
                    .orElse(endNanos);
            longestNanos = Math.max(longestNanos, atNanos - written.getValue());
        }
        return longestNanos / 1_000_000L;
    }

    /** Guards against updates that wait unread while the duty waits for the store. */
    @ParameterizedTest
    @EnumSource(Stall.class)
    void shouldApplyTheUpdatesOfTheControllerInTimeWhileACallToTheStoreStalls(Stall stall) throws Exception {
        AnsweringController controller = new AnsweringController(ControllerView.ofOperators(), operatorEvents, true);
        start(operatorDuty(startStore(target -> answer(stall, target)), controller)::runStep);
        stalled.await();
        LongConsumer report = version -> controller.send(update(version - 1, version));

        long delayMillis = longestDelayMillis(2, 15, 200, report, reads(controller));

        assertThat(delayMillis).isLessThanOrEqualTo(APPLY_LIMIT_MILLIS);
    }

    /** Guards against changes of servers that wait unread while the duty waits for the store. */
    @ParameterizedTest
    @EnumSource(Stall.class)
    void shouldApplyTheServersThatTheControllerReadInTimeWhileACallToTheStoreStalls(Stall stall) throws Exception {
        AnsweringController controller = new AnsweringController(ControllerView.ofServers(), serverEvents, true);
        StoreClient store = startStore(target -> answer(stall, target));
        ItemView view = new ItemView("servers/", new RevisionListener());
        start(duty(store, "servers/", serverEvents, view, false, controller)::runStep);
        stalled.await();
        LongConsumer report =
                version -> controller.sendDifference(revision(version - 1), revision(version), item(version));

        long delayMillis = longestDelayMillis(2, 15, 200, report, reads(controller));

        assertThat(delayMillis).isLessThanOrEqualTo(APPLY_LIMIT_MILLIS);
    }

    /** Guards against a failing call to the store between one waiting update and the next. */
    @Test
    void shouldApplyAllWaitingUpdatesBeforeItCallsAStoreAgainWhoseListingsStopHalfway() throws Exception {
        AnsweringController controller = new AnsweringController(ControllerView.ofOperators(), operatorEvents, true);
        StoreClient store = startStore(target -> {
            if (target.startsWith("/watch")) {
                return StallingStore.whole(410, "", 0);
            }
            if (listCount.incrementAndGet() == 1) {
                return listing();
            }
            stalled.countDown();
            return StallingStore.stopped(500);
        });
        start(operatorDuty(store, controller)::runStep);
        stalled.await();
        LongConsumer report = version -> controller.send(update(1, version));

        long delayMillis = longestDelayMillis(2, 8, 100, report, reads(controller));

        assertThat(delayMillis).isLessThanOrEqualTo(APPLY_LIMIT_MILLIS);
    }

    /** Guards against a router that never makes up for an update that its full ring dropped while changes go on. */
    @Test
    void shouldReadTheStoreInTimeWhenTheFullRingDroppedUpdatesAndChangesGoOn() throws Exception {
        AnsweringController controller = new AnsweringController(ControllerView.ofOperators(), operatorEvents, false);
        FollowDuty duty = operatorDuty(startStore(target -> listing()), controller);

        long delayMillis = longestDelayMillisAfterAFullRing(duty, controller);

        assertThat(delayMillis).isLessThanOrEqualTo(APPLY_LIMIT_MILLIS);
    }

    @Test
    void shouldLearnFromTheControllerInTimeWhatTheFullRingDroppedWhileTheStoreAnswersNothing() throws Exception {
        AnsweringController controller = new AnsweringController(ControllerView.ofOperators(), operatorEvents, true);
        FollowDuty duty = operatorDuty(
                startStore(target -> listCount.incrementAndGet() == 1 ? listing() : StallingStore.unanswered()),
                controller);

        long delayMillis = longestDelayMillisAfterAFullRing(duty, controller);

        assertThat(delayMillis).isLessThanOrEqualTo(APPLY_LIMIT_MILLIS);
    }

    /** Sends more updates than the ring holds before the duty runs, and writes versions while it does. */
    private long longestDelayMillisAfterAFullRing(FollowDuty duty, AnsweringController controller)
            throws InterruptedException {
        reads(controller).accept(1);
        runUntilTheFirstVersionIsInForce(duty);
        long lastDropped = 1 + OPERATOR_RING_CAPACITY + 4;
        LongConsumer report = version -> controller.send(update(version - 1, version));
        LongStream.rangeClosed(2, lastDropped).forEach(report);
        reads(controller).accept(lastDropped);
        start(duty::runStep);
        return longestDelayMillis(lastDropped + 1, 60, 100, report, reads(controller));
    }

    /** Guards against a timeout of silence that leaves no time for a second call to the store. */
    @Test
    void shouldReadTheStoreInTimeWhenTheControllerFallsSilentAndOneResponseIsLost() throws Exception {
        AnsweringController controller = new AnsweringController(ControllerView.ofOperators(), operatorEvents, false);
        FollowDuty duty = operatorDuty(
                startStore(target -> listCount.incrementAndGet() == 2 ? StallingStore.unanswered() : listing()),
                controller);
        reads(controller).accept(1);
        runUntilTheFirstVersionIsInForce(duty);
        reads(controller).accept(1);
        start(duty::runStep);

        long delayMillis = longestDelayMillis(2, 1, 0, version -> {}, version -> {});

        assertThat(delayMillis).isLessThanOrEqualTo(APPLY_LIMIT_MILLIS);
    }

    /** Guards against a router without a controller that waits for changes which a store without history withholds. */
    @ParameterizedTest
    @EnumSource(DroppedHistory.class)
    void shouldApplyQuickChangesInTimeWhileTheStoreHasNoHistory(DroppedHistory history) throws Exception {
        StoreClient store = startStore(target -> {
            if (target.startsWith("/list")) {
                return listing();
            }
            return history == DroppedHistory.GONE
                    ? StallingStore.whole(410, "", 0)
                    : StallingStore.whole(
                            200,
                            StallingStore.changesBody(revision(writtenVersion.get() + 1)),
                            ViewFollower.ALONE_WAIT_MILLIS);
        });
        AnsweringController silent = new AnsweringController(ControllerView.ofOperators(), operatorEvents, false);
        start(operatorDuty(store, silent)::runStep);

        long delayMillis = longestDelayMillis(2, 30, 100, version -> {}, version -> {});

        assertThat(delayMillis).isLessThanOrEqualTo(APPLY_LIMIT_MILLIS);
    }

    /** Records the revision of each item as that of a version in force. */
    private final class RevisionListener implements ViewListener {

        @Override
        public void onWritten(Item item, EventTime writtenAt) {
            inForceNanos.putIfAbsent(item.revision() - FIRST_REVISION, System.nanoTime());
        }

        @Override
        public void onRemoved(String key) {
            // These tests remove nothing.
        }

        @Override
        public void onComplete() {
            // The items were reported one by one.
        }
    }
}
