package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.daisyscale.core.following.Teller;
import org.daisyscale.core.following.ViewUpdate;
import org.daisyscale.core.following.ViewVersion;
import org.daisyscale.core.keys.KeyEvent;
import org.daisyscale.core.keys.KeyLoad;
import org.daisyscale.core.peer.PeerMessage.ViewHeld;
import org.daisyscale.core.peer.PeerMessage.ViewReport;
import org.daisyscale.core.peer.PeerMessage.ViewUpdated;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;
import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.following.FollowEvent;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.daisyscale.router.serving.ServingRouterSettings.Address;
import org.junit.jupiter.api.Test;

class ControllerLinkTest {
    private static final Address ADDRESS = new Address("127.0.0.1", 0);
    private static final String PREFIX = "op/";

    private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();

    @Test
    void shouldAcceptAKeyLoadReportWhileAKeyMapWaitsForRoomInTheRingOfTheDecisions() throws Exception {
        CountDownLatch isWaiting = new CountDownLatch(1);
        CountDownLatch hasRoom = new CountDownLatch(1);
        List<KeyEvent> keyEvents = new ArrayList<>();
        try (ControllerLink link = new ControllerLink(
                "r1",
                ADDRESS,
                event -> {
                    isWaiting.countDown();
                    await(hasRoom);
                },
                keyEvents::add,
                (event, detail) -> {})) {
            link.setController(new RouterEntry("r1", "127.0.0.1", 1, 7, 1));
            CompletableFuture<Void> published =
                    CompletableFuture.runAsync(() -> link.publish(new KeyMap("s", 1, 0, 1, List.of())));
            await(isWaiting);

            CompletableFuture<Void> reported =
                    CompletableFuture.runAsync(() -> link.report(new KeyLoad("s", List.of(1), Map.of())));

            try {
                reported.get(5, TimeUnit.SECONDS);
            } finally {
                hasRoom.countDown();
            }
            published.get(5, TimeUnit.SECONDS);
            assertThat(keyEvents).hasSize(1);
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private ControllerLink openLink(RouterEntry router, BlockingQueue<ServingEvent> servingEvents) {
        return new ControllerLink(
                router.routerId(),
                new Address(router.host(), router.port()),
                servingEvents::add,
                event -> {},
                (event, detail) -> lines.add(event + " " + detail));
    }

    private static KeyMap nextMap(BlockingQueue<ServingEvent> servingEvents) throws InterruptedException {
        ServingEvent event = servingEvents.poll(10, TimeUnit.SECONDS);
        assertThat(event).isInstanceOf(ServingEvent.KeyMapChanged.class);
        return ((ServingEvent.KeyMapChanged) event).map();
    }

    private static KeyMap map(int progress, KeyAssignment... assignments) {
        return new KeyMap("s", 1, progress, 9, List.of(assignments));
    }

    /** Guards against routers that serve by an older map because only the changes are sent. */
    @Test
    void shouldGiveARouterEachKeyMapAlthoughOnlyChangesAreSentAfterTheFirst() throws Exception {
        RouterEntry controller = new RouterEntry("r1", "127.0.0.1", freePort(), 7, 1);
        RouterEntry other = new RouterEntry("r2", "127.0.0.1", freePort(), 8, 1);
        Owner owner = new Owner("s1", 1, "10.0.0.1", 80);
        KeyAssignment low = KeyAssignment.first(0, 9, owner, 1);
        KeyAssignment high = KeyAssignment.first(10, KeyMap.KEY_COUNT - 1, owner, 2);
        BlockingQueue<ServingEvent> atController = new LinkedBlockingQueue<>();
        BlockingQueue<ServingEvent> atOther = new LinkedBlockingQueue<>();
        try (ControllerLink sender = openLink(controller, atController);
                ControllerLink receiver = openLink(other, atOther)) {
            for (ControllerLink link : List.of(sender, receiver)) {
                link.addRouter(controller);
                link.addRouter(other);
                link.setController(controller);
                link.startNetwork("a secret of the test");
            }
            sender.publish(map(0, low, high));
            assertThat(nextMap(atOther)).isEqualTo(map(0, low, high));

            sender.publish(map(1, low.settled(), high));
            sender.publish(map(2, low.settled(), high.settled()));

            KeyMap received = nextMap(atOther);
            if (received.progress() == 1) {
                assertThat(received).isEqualTo(map(1, low.settled(), high));
                received = nextMap(atOther);
            }
            assertThat(received).isEqualTo(map(2, low.settled(), high.settled()));
        }
    }

    /** Guards against a step of a duty that waits for the lock while the thread of the peer events holds it. */
    @Test
    void shouldAnswerTheDutiesThatFollowTheStoreWhileAKeyMapWaitsForRoomInTheRingOfTheDecisions() throws Exception {
        CountDownLatch isWaiting = new CountDownLatch(1);
        CountDownLatch hasRoom = new CountDownLatch(1);
        try (ControllerLink link = new ControllerLink(
                "r1",
                ADDRESS,
                event -> {
                    isWaiting.countDown();
                    await(hasRoom);
                },
                event -> {},
                (event, detail) -> {})) {
            link.setController(new RouterEntry("r1", "127.0.0.1", 1, 7, 1));
            CompletableFuture<Void> published =
                    CompletableFuture.runAsync(() -> link.publish(new KeyMap("s", 1, 0, 1, List.of())));
            await(isWaiting);

            CompletableFuture<Boolean> answered = CompletableFuture.supplyAsync(() -> {
                link.broadcast(report(1));
                link.send("r2", report(1));
                return link.isController();
            });

            try {
                assertThat(answered.get(5, TimeUnit.SECONDS)).isTrue();
            } finally {
                hasRoom.countDown();
            }
            published.get(5, TimeUnit.SECONDS);
        }
    }

    private static ViewReport report(long revision) {
        return new ViewReport(PREFIX, new ViewVersion(revision, revision), 40);
    }

    private static ViewUpdated update(long revision) {
        ViewVersion version = new ViewVersion(revision, revision);
        return new ViewUpdated(new ViewUpdate(PREFIX, version, false, List.of(), Set.of(), List.of()));
    }

    private ControllerLink openFollowing(RouterEntry router, Ring<FollowEvent> inbox) {
        ControllerLink link = openLink(router, new LinkedBlockingQueue<>());
        link.follow(PREFIX, inbox);
        return link;
    }

    private static Ring<FollowEvent> ring(int capacity) {
        return new ArrayRing<>("follow", capacity);
    }

    private static FollowEvent next(Ring<FollowEvent> inbox) throws InterruptedException {
        return inbox.poll(Duration.ofSeconds(10)).orElseThrow();
    }

    /** Lets both routers connect; each names the other or itself as controller beforehand. */
    private void connect(RouterEntry first, ControllerLink firstLink, RouterEntry second, ControllerLink secondLink)
            throws InterruptedException {
        for (ControllerLink link : List.of(firstLink, secondLink)) {
            link.addRouter(first);
            link.addRouter(second);
            link.startNetwork("a secret of the test");
        }
        awaitLines("peer-connected peer=" + first.routerId(), "peer-connected peer=" + second.routerId());
    }

    private void connectToController(
            RouterEntry first, ControllerLink link, RouterEntry other, ControllerLink otherLink)
            throws InterruptedException {
        link.setController(first);
        otherLink.setController(first);
        connect(first, link, other, otherLink);
    }

    @Test
    void shouldBroadcastNothingFromARouterOtherThanTheController() throws Exception {
        RouterEntry sender = new RouterEntry("r1", "127.0.0.1", freePort(), 7, 1);
        RouterEntry other = new RouterEntry("r2", "127.0.0.1", freePort(), 8, 1);
        Ring<FollowEvent> inbox = ring(4);
        try (ControllerLink senderLink = openFollowing(sender, ring(4));
                ControllerLink otherLink = openFollowing(other, inbox)) {
            senderLink.setController(other);
            otherLink.setController(sender);
            connect(sender, senderLink, other, otherLink);

            int count = senderLink.broadcast(report(3));
            senderLink.send("r2", update(4));

            assertThat(count).isZero();
            assertThat(next(inbox))
                    .isEqualTo(new FollowEvent.Updated("r1", update(4).update()));
        }
    }

    @Test
    void shouldBroadcastToNobodyWhileNobodyIsConnected() {
        RouterEntry self = new RouterEntry("r1", "127.0.0.1", 1, 7, 1);
        try (ControllerLink link = openLink(self, new LinkedBlockingQueue<>())) {
            link.setController(self);

            assertThat(link.broadcast(report(3))).isZero();
        }
    }

    @Test
    void shouldPassOnWhatTheControllerReportsAndSends() throws Exception {
        RouterEntry controller = new RouterEntry("r1", "127.0.0.1", freePort(), 7, 1);
        RouterEntry other = new RouterEntry("r2", "127.0.0.1", freePort(), 8, 1);
        Ring<FollowEvent> inbox = ring(4);
        try (ControllerLink sender = openFollowing(controller, ring(4));
                ControllerLink receiver = openFollowing(other, inbox)) {
            connectToController(controller, sender, other, receiver);

            int count = sender.broadcast(report(3));
            FollowEvent reported = next(inbox);
            sender.send("r2", update(4));

            assertThat(count).isEqualTo(1);
            assertThat(reported)
                    .isEqualTo(new FollowEvent.Reported(
                            new Teller("r1", 1), report(3).version(), report(3).ageMillis()));
            assertThat(next(inbox))
                    .isEqualTo(new FollowEvent.Updated("r1", update(4).update()));
        }
    }

    /** Guards against a former controller that is believed, which would take this router back. */
    @Test
    void shouldNotBelieveReportsAndUpdatesOfARouterThatIsNotTheKnownController() throws Exception {
        RouterEntry former = new RouterEntry("r1", "127.0.0.1", freePort(), 7, 1);
        RouterEntry other = new RouterEntry("r2", "127.0.0.1", freePort(), 8, 1);
        Ring<FollowEvent> inbox = ring(4);
        try (ControllerLink sender = openFollowing(former, ring(4));
                ControllerLink receiver = openFollowing(other, inbox)) {
            sender.setController(former);
            receiver.setController(other);
            connect(former, sender, other, receiver);

            sender.broadcast(report(3));
            sender.send("r2", update(4));
            sender.send("r2", new ViewHeld(PREFIX, new ViewVersion(5, 5), false));

            assertThat(next(inbox)).isEqualTo(new FollowEvent.Held("r1", new ViewVersion(5, 5), false));
            assertThat(inbox.size()).isZero();
        }
    }

    /** Guards against a new controller that does not know what its followers hold because they said it too early. */
    @Test
    void shouldPassOnWhatAFollowerHoldsBeforeItKnowsItselfAsController() throws Exception {
        RouterEntry self = new RouterEntry("r1", "127.0.0.1", freePort(), 7, 1);
        RouterEntry follower = new RouterEntry("r2", "127.0.0.1", freePort(), 8, 1);
        Ring<FollowEvent> inbox = ring(4);
        try (ControllerLink link = openFollowing(self, inbox);
                ControllerLink followerLink = openFollowing(follower, ring(4))) {
            link.setController(follower);
            followerLink.setController(self);
            connect(self, link, follower, followerLink);

            followerLink.send("r1", new ViewHeld(PREFIX, new ViewVersion(5, 5), true));

            assertThat(next(inbox)).isEqualTo(new FollowEvent.Held("r2", new ViewVersion(5, 5), true));
            assertThat(link.isController()).isFalse();
        }
    }

    /** Guards against a follower that does not say what it holds on a new connection, where messages were lost. */
    @Test
    void shouldNumberTheConnectionsToTheControllerAnewAfterAReconnect() throws Exception {
        RouterEntry controller = new RouterEntry("r1", "127.0.0.1", freePort(), 7, 1);
        RouterEntry other = new RouterEntry("r2", "127.0.0.1", freePort(), 8, 1);
        Ring<FollowEvent> controllerInbox = ring(4);
        Ring<FollowEvent> inbox = ring(4);
        try (ControllerLink sender = openFollowing(controller, controllerInbox);
                ControllerLink receiver = openFollowing(other, inbox)) {
            connectToController(controller, sender, other, receiver);
            sender.broadcast(report(3));
            FollowEvent.Reported before = (FollowEvent.Reported) next(inbox);

            sender.addRouter(new RouterEntry("r2", "127.0.0.1", FollowingRouters.CLOSED_PORT, 8, 1));
            awaitLines("peer-lost peer=r1", "peer-lost peer=r2");
            assertThat(next(controllerInbox)).isEqualTo(new FollowEvent.FollowerLost("r2"));
            assertThat(next(inbox)).isEqualTo(new FollowEvent.FollowerLost("r1"));
            sender.addRouter(other);
            awaitLines("peer-connected peer=r1", "peer-connected peer=r2");
            sender.broadcast(report(3));
            FollowEvent.Reported after = (FollowEvent.Reported) next(inbox);

            assertThat(after.version()).isEqualTo(before.version());
            assertThat(after.teller()).isNotEqualTo(before.teller());
            assertThat(after.teller().routerId()).isEqualTo("r1");
        }
    }

    /** Guards against a router that reaches the controller only and is told nothing because its registration ended. */
    @Test
    void shouldTellARouterThatIsNoLongerRegistered() throws Exception {
        RouterEntry controller = new RouterEntry("r1", "127.0.0.1", freePort(), 7, 1);
        RouterEntry other = new RouterEntry("r2", "127.0.0.1", freePort(), 8, 1);
        Ring<FollowEvent> inbox = ring(4);
        try (ControllerLink sender = openFollowing(controller, ring(4));
                ControllerLink receiver = openFollowing(other, inbox)) {
            connectToController(controller, sender, other, receiver);
            sender.removeRouter("r2");
            Thread.sleep(300);
            sender.broadcast(report(3));
            assertThat(next(inbox)).isInstanceOf(FollowEvent.Reported.class);
        }
    }

    /** Guards against a full ring that stops the thread of the peer events, and against a loss that nobody can see. */
    @Test
    void shouldDropWithALineWhatFindsTheRingOfTheDutyFull() throws Exception {
        RouterEntry controller = new RouterEntry("r1", "127.0.0.1", freePort(), 7, 1);
        RouterEntry other = new RouterEntry("r2", "127.0.0.1", freePort(), 8, 1);
        Ring<FollowEvent> inbox = ring(1);
        try (ControllerLink sender = openFollowing(controller, ring(4));
                ControllerLink receiver = openFollowing(other, inbox)) {
            connectToController(controller, sender, other, receiver);
            inbox.put(new FollowEvent.FollowerLost("nobody"));

            sender.broadcast(report(3));
            awaitLines("view-event-dropped prefix=" + PREFIX + " event=Reported");
            sender.send("r2", update(4));
            awaitLines("view-event-dropped prefix=" + PREFIX + " event=Updated");

            assertThat(next(inbox)).isEqualTo(new FollowEvent.FollowerLost("nobody"));
            sender.broadcast(report(5));
            assertThat(next(inbox)).isInstanceOf(FollowEvent.Reported.class);
        }
    }

    @Test
    void shouldIgnoreWhatIsSaidAboutAPrefixThatNobodyFollows() throws Exception {
        RouterEntry controller = new RouterEntry("r1", "127.0.0.1", freePort(), 7, 1);
        RouterEntry other = new RouterEntry("r2", "127.0.0.1", freePort(), 8, 1);
        Ring<FollowEvent> inbox = ring(4);
        try (ControllerLink sender = openFollowing(controller, ring(4));
                ControllerLink receiver = openFollowing(other, inbox)) {
            connectToController(controller, sender, other, receiver);

            sender.broadcast(new ViewReport("unknown/", new ViewVersion(3, 3), 0));
            sender.broadcast(report(4));

            assertThat(next(inbox)).isInstanceOf(FollowEvent.Reported.class);
            assertThat(inbox.size()).isZero();
        }
    }

    /** Waits until each of {@code expected} was reported, in any order. */
    private void awaitLines(String... expected) throws InterruptedException {
        Set<String> missing = new HashSet<>(Set.of(expected));
        String line = lines.poll(10, TimeUnit.SECONDS);
        while (line != null && !(missing.remove(line) && missing.isEmpty())) {
            line = lines.poll(10, TimeUnit.SECONDS);
        }
        assertThat(missing).isEmpty();
    }

    private static void await(CountDownLatch latch) {
        try {
            assertThat(latch.await(10, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
