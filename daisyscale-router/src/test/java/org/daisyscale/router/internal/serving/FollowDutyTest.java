package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.daisyscale.core.following.ItemView;
import org.daisyscale.core.following.ReadRequest;
import org.daisyscale.core.following.ReadRequest.Kind;
import org.daisyscale.core.following.ViewFollower;
import org.daisyscale.core.following.ViewListener;
import org.daisyscale.core.following.ViewVersion;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.platform.CoordinationStore.Changes;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.ItemChange;
import org.daisyscale.core.platform.CoordinationStore.Listing;
import org.daisyscale.core.serving.EventTime;
import org.daisyscale.router.internal.following.FollowDuty;
import org.daisyscale.router.internal.following.FollowEvent;
import org.daisyscale.router.internal.following.FollowReports;
import org.daisyscale.router.internal.following.StoreReader;
import org.daisyscale.router.internal.ring.Ring;
import org.daisyscale.router.serving.StoreException;
import org.junit.jupiter.api.Test;

class FollowDutyTest {
    private static final FollowReports NO_REPORTS = new FollowReports((event, detail) -> {}, result -> {}, nanos -> {});
    /** How long changes are batched, in milliseconds, as in a router. */
    private static final long BATCH_MILLIS = 200;

    private static final long RUN_MILLIS = 10_000;

    private final AtomicLong clockNanos = new AtomicLong(5);
    private final Ring<FollowEvent> inbox = PeriodicRing.ofOffered(clockNanos);
    private final RecordingPeers peers = new RecordingPeers();
    private final List<ReadRequest> reads = new ArrayList<>();
    private final List<String> writtenKeys = new ArrayList<>();
    private Optional<Error> listenerError = Optional.empty();

    private FollowDuty createDuty(StoreReader reader) {
        ViewListener listener = new ViewListener() {
            @Override
            public void onWritten(Item item, EventTime writtenAt) {
                writtenKeys.add(item.key());
            }

            @Override
            public void onRemoved(String key) {
                // These tests remove nothing.
            }

            @Override
            public void onComplete() {
                listenerError.ifPresent(error -> {
                    throw error;
                });
            }
        };
        return new FollowDuty(
                "servers/",
                new ItemView("servers/", listener),
                new ViewFollower(new SplittableRandom(1), BATCH_MILLIS, false, clockNanos.get()),
                inbox,
                (number, request) -> {
                    reads.add(request);
                    reader.start(number, request);
                },
                peers,
                NO_REPORTS,
                clockNanos::get);
    }

    private static Item item(String key, long revision) {
        return new Item(key, new byte[0], revision);
    }

    private void list(long number, long revision, Item... items) {
        inbox.offer(new FollowEvent.Listed(number, new Listing(List.of(items), revision)));
    }

    private void answerListingsOnly(long number, ReadRequest request) {
        if (request.kind() == Kind.LIST) {
            list(number, 5, item("servers/a", 4));
        }
    }

    private void runStepsFor(FollowDuty duty, long millis) throws InterruptedException {
        long endNanos = clockNanos.get() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (clockNanos.get() - endNanos < 0) {
            duty.runStep();
        }
    }

    @Test
    void shouldPauseBetweenCallsToAStoreThatFailsAtOnce() throws InterruptedException {
        FollowDuty duty = createDuty((number, request) -> inbox.offer(new FollowEvent.ReadFailed(
                number, new StoreException(StoreException.Code.UNREACHABLE, "refused", null))));

        runStepsFor(duty, RUN_MILLIS);

        assertThat(reads).hasSizeBetween(8, 40);
    }

    @Test
    void shouldPauseBetweenCallsToAStoreThatReturnsOlderListingsForEver() throws InterruptedException {
        FollowDuty duty = createDuty((number, request) -> list(number, number == 1 ? 9 : 7, item("servers/a", 4)));

        runStepsFor(duty, RUN_MILLIS);

        assertThat(reads).hasSizeBetween(8, (int) (RUN_MILLIS / BATCH_MILLIS) + 2);
    }

    @Test
    void shouldPauseBetweenCallsToAStoreThatLostItsHistory() throws InterruptedException {
        FollowDuty duty = createDuty((number, request) -> {
            if (request.kind() == Kind.LIST) {
                list(number, 9, item("servers/a", 4));
            } else {
                inbox.offer(new FollowEvent.Watched(number, Optional.empty()));
            }
        });

        runStepsFor(duty, RUN_MILLIS);

        assertThat(reads).hasSizeBetween(8, 2 * (int) (RUN_MILLIS / BATCH_MILLIS) + 2);
    }

    @Test
    void shouldPauseBetweenCallsToAStoreWhoseWatchesEndAtOnceWithoutAChange() throws InterruptedException {
        FollowDuty duty = createDuty((number, request) -> {
            if (request.kind() == Kind.LIST) {
                list(number, 9, item("servers/a", 4));
            } else {
                inbox.offer(new FollowEvent.Watched(number, Optional.of(new Changes(List.of(), 9))));
            }
        });

        runStepsFor(duty, RUN_MILLIS);

        assertThat(reads).hasSizeBetween(8, (int) (RUN_MILLIS / BATCH_MILLIS) + 2);
    }

    @Test
    void shouldReadAgainAfterAResponseWhoseHandlingEndedWithAnError() throws InterruptedException {
        FollowDuty duty = createDuty(this::answerListingsOnly);
        listenerError = Optional.of(new AssertionError("the listener failed"));
        assertThatThrownBy(duty::runStep).isInstanceOf(AssertionError.class);
        listenerError = Optional.empty();

        runStepsFor(duty, 1_000);

        assertThat(reads).extracting(ReadRequest::kind).startsWith(Kind.LIST, Kind.LIST);
    }

    @Test
    void shouldReadAgainAfterAReadThatTheReaderDidNotStart() throws InterruptedException {
        FollowDuty duty = createDuty((number, request) -> {
            if (number == 1) {
                throw new IllegalStateException("too many reads are waiting");
            }
            answerListingsOnly(number, request);
        });
        assertThatThrownBy(duty::runStep).isInstanceOf(IllegalStateException.class);

        runStepsFor(duty, 1_000);

        assertThat(reads).extracting(ReadRequest::kind).startsWith(Kind.LIST, Kind.LIST);
        assertThat(writtenKeys).containsExactly("servers/a");
    }

    @Test
    void shouldIgnoreTheResponseOfAReplacedWatch() throws InterruptedException {
        FollowDuty duty = createDuty(this::answerListingsOnly);
        duty.runStep();
        runStepsFor(duty, ViewFollower.ALONE_OVERDUE_MILLIS + 2 * BATCH_MILLIS);
        assertThat(reads).extracting(ReadRequest::kind).startsWith(Kind.LIST, Kind.WATCH, Kind.LIST);
        ItemChange late = new ItemChange("servers/late", 6, Optional.of(item("servers/late", 6)));
        inbox.offer(new FollowEvent.Watched(2, Optional.of(new Changes(List.of(late), 6))));

        duty.runStep();

        assertThat(writtenKeys).containsExactly("servers/a");
    }

    @Test
    void shouldApplyTheNextUpdateAfterOneWhoseHandlingEndedWithAnError() throws InterruptedException {
        FollowDuty duty = createDuty(this::answerListingsOnly);
        duty.runStep();
        ControllerView controller = ControllerView.ofServers().list(5, item("servers/a", 4));
        inbox.offer(
                controller.list(6, item("servers/a", 4), item("servers/b", 6)).updateFrom(5));
        inbox.offer(controller
                .list(7, item("servers/a", 4), item("servers/b", 6), item("servers/c", 7))
                .updateFrom(5));
        listenerError = Optional.of(new AssertionError("the listener failed"));
        assertThatThrownBy(duty::runStep).isInstanceOf(AssertionError.class);
        listenerError = Optional.empty();

        duty.runStep();

        assertThat(writtenKeys).containsExactly("servers/a", "servers/b", "servers/c");
    }

    @Test
    void shouldReadTheStoreForAllOnceItIsTheController() throws InterruptedException {
        FollowDuty duty = createDuty(this::answerListingsOnly);
        ControllerView former = ControllerView.ofServers().list(5, item("servers/a", 4));
        inbox.offer(former.report());
        duty.runStep();
        runStepsFor(duty, 2 * BATCH_MILLIS);
        assertThat(reads).hasSize(1);
        reads.clear();
        peers.setController(true);

        runStepsFor(duty, 2 * BATCH_MILLIS);

        assertThat(reads).extracting(ReadRequest::kind).startsWith(Kind.LIST, Kind.WATCH);
        assertThat(reads.get(1).waitMillis()).isEqualTo(ViewFollower.CONTROLLER_WAIT_MILLIS);
    }

    /** Guards against a router that is sent nothing because it was sent the same before the control was lost. */
    @Test
    void shouldSendAgainWhatItSentBeforeItLostTheControl() throws InterruptedException {
        peers.setController(true);
        FollowDuty duty = createDuty(this::answerListingsOnly);
        inbox.offer(new FollowEvent.Held("r2", ViewVersion.NONE, true));
        duty.runStep();
        assertThat(peers.updates()).hasSize(1);
        peers.setController(false);
        duty.runStep();
        peers.setController(true);
        inbox.offer(new FollowEvent.Held("r2", ViewVersion.NONE, true));

        duty.runStep();

        assertThat(peers.updates()).hasSize(2);
    }

    @Test
    void shouldTellNobodyOnceItIsNoLongerTheController() throws InterruptedException {
        peers.setController(true);
        FollowDuty duty = createDuty(this::answerListingsOnly);
        duty.runStep();
        assertThat(peers.broadcasts()).hasSize(1);
        peers.setController(false);
        inbox.offer(new FollowEvent.Held("r2", ViewVersion.NONE, true));

        runStepsFor(duty, 1_000);

        assertThat(peers.updates()).isEmpty();
        assertThat(peers.broadcasts()).hasSize(1);
    }

    /** Guards against a router that asked before this one knew that it is the controller, and is never answered. */
    @Test
    void shouldAnswerWhatWasSaidBeforeItKnewThatItIsTheController() throws InterruptedException {
        FollowDuty duty = createDuty(this::answerListingsOnly);
        inbox.offer(new FollowEvent.Held("r2", ViewVersion.NONE, false));
        duty.runStep();
        assertThat(peers.sent()).isEmpty();
        peers.setController(true);

        duty.runStep();

        assertThat(peers.sent())
                .hasOnlyElementsOfType(PeerMessage.ViewUpdated.class)
                .hasSize(1);
    }
}
