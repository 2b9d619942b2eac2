package org.daisyscale.router.internal.following;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.daisyscale.core.following.ItemView;
import org.daisyscale.core.following.ReadRequest;
import org.daisyscale.core.following.Teller;
import org.daisyscale.core.following.ViewFollower;
import org.daisyscale.core.following.ViewVersion;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.platform.CoordinationStore.Changes;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.ItemChange;
import org.daisyscale.core.platform.CoordinationStore.Listing;
import org.junit.jupiter.api.Test;

/**
 * Guards against a server that left and is used on, because the former controller still held it as one that may have
 * lapsed: a router that held the same was confirmed up to a revision after the removal, and watches on from there.
 */
class LapsedAtTheFormerControllerTest {
    private static final long MILLIS = 1_000_000L;
    private static final String PREFIX = "servers/";
    private static final Teller CONTROLLER = new Teller("r1", 1);

    private final RemovalListener listener = new RemovalListener();
    private final Deque<ReadRequest> requests = new ArrayDeque<>();
    private final QueueRing inbox = new QueueRing();
    private final ItemView view = new ItemView(PREFIX, listener);
    private long nowNanos = 77 * MILLIS;
    private long readNumber;
    private boolean isController;
    private final FollowDuty duty = new FollowDuty(
            PREFIX,
            view,
            new ViewFollower(new SplittableRandom(1), 200, false, nowNanos),
            inbox,
            this::recordRead,
            new NoPeers(),
            new FollowReports((event, detail) -> {}, result -> {}, nanos -> {}),
            () -> nowNanos);

    private void recordRead(long number, ReadRequest request) {
        readNumber = number;
        requests.add(request);
    }

    private void step() throws InterruptedException {
        duty.runStep();
    }

    private void awaitRead() throws InterruptedException {
        requests.clear();
        for (int count = 0; requests.isEmpty() && count < 100; count++) {
            nowNanos += 50 * MILLIS;
            step();
        }
        assertThat(requests).isNotEmpty();
    }

    private void listStore(long revision, Item... items) throws InterruptedException {
        inbox.offer(new FollowEvent.Listed(readNumber, new Listing(List.of(items), revision)));
        step();
    }

    private void hearControllerFor(long millis, long revision) throws InterruptedException {
        long endNanos = nowNanos + millis * MILLIS;
        while (nowNanos - endNanos < 0) {
            inbox.offer(new FollowEvent.Reported(
                    CONTROLLER, new ViewVersion(revision, view.version().digest()), 0));
            step();
            nowNanos += 500 * MILLIS;
        }
    }

    private void watchStore(long revision) throws InterruptedException {
        Item changed = new Item("servers/changing", new byte[] {1}, revision);
        ItemChange change = new ItemChange(changed.key(), revision, Optional.of(changed));
        inbox.offer(new FollowEvent.Watched(readNumber, Optional.of(new Changes(List.of(change), revision))));
        step();
    }

    private void answerRead(long revision, Item... items) throws InterruptedException {
        if (requests.getLast().kind() == ReadRequest.Kind.LIST) {
            listStore(revision, items);
        } else {
            watchStore(revision);
        }
    }

    @Test
    void shouldDropAServerThatLapsedBeforeItTookTheControlWhileOthersKeepChanging() throws InterruptedException {
        Item staying = new Item("servers/a", new byte[] {1}, 4);
        Item gone = new Item("servers/x", new byte[] {1}, 5);
        awaitRead();
        listStore(10, staying, gone);
        hearControllerFor(1_000, 30); // removed at 25, but the controller keeps it for a grace period

        isController = true;
        for (int revision = 40; revision < 60; revision++) {
            awaitRead();
            answerRead(revision, staying);
        }

        assertThat(listener.removedKeys()).containsExactly("servers/x");
    }

    /** The other routers, of which none has said what it holds. */
    private final class NoPeers implements FollowPeers {
        @Override
        public boolean isController() {
            return isController;
        }

        @Override
        public int broadcast(PeerMessage message) {
            return 0;
        }

        @Override
        public void send(String routerId, PeerMessage message) {
            // Nobody is connected.
        }
    }
}
