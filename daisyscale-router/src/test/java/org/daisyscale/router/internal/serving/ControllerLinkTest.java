package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.daisyscale.core.keys.KeyEvent;
import org.daisyscale.core.keys.KeyLoad;
import org.daisyscale.core.peer.PeerMessage.OperatorUpdate;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;
import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.core.serving.RequestLimits;
import org.daisyscale.core.serving.RoutingTableChange;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.serving.ServingRouterSettings.Address;
import org.junit.jupiter.api.Test;

class ControllerLinkTest {
    private static final Address ADDRESS = new Address("127.0.0.1", 0);

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
                new ArrayRing<>("updates", 1),
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
                new ArrayRing<>("updates", 4),
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

    private static OperatorUpdate update(long version, long revision) {
        RoutingTableChange change = new RoutingTableChange(
                Set.of(version), version, List.of(), Set.of(), Map.of(), new RequestLimits(1, 1, 1, 1));
        return new OperatorUpdate(revision, change, Set.of());
    }

    private List<String> linesAboutUpdates() {
        return lines.stream()
                .filter(line -> line.startsWith("operator-update-"))
                .toList();
    }

    @Test
    void shouldReportOnceThatARouterOtherThanTheControllerSendsNoUpdates() {
        RouterEntry self = new RouterEntry("r1", "127.0.0.1", 1, 7, 1);
        try (ControllerLink link = openLink(self, new LinkedBlockingQueue<>())) {
            link.publish(update(3, 41));
            link.publish(update(4, 42));
        }

        assertThat(linesAboutUpdates())
                .containsExactly("operator-update-unsent version=3 revision=41 reason=not-controller");
    }

    @Test
    void shouldReportEachVersionThatTheControllerCannotSendBecauseNobodyIsConnected() {
        RouterEntry self = new RouterEntry("r1", "127.0.0.1", 1, 7, 1);
        try (ControllerLink link = openLink(self, new LinkedBlockingQueue<>())) {
            link.setController(self);
            link.publish(update(3, 41));
            link.publish(update(3, 41));
            link.publish(update(3, 42));
            link.publish(update(4, 43));
        }

        assertThat(linesAboutUpdates())
                .containsExactly(
                        "operator-update-unsent version=3 revision=41 reason=no-router-connected",
                        "operator-update-unsent version=4 revision=43 reason=no-router-connected");
    }

    /** Guards against a new controller of which nobody can say whether it told the others what it had read. */
    @Test
    void shouldReportWhatTheControllerSendsToARouterThatConnectsAndLater() throws Exception {
        RouterEntry controller = new RouterEntry("r1", "127.0.0.1", freePort(), 7, 1);
        RouterEntry other = new RouterEntry("r2", "127.0.0.1", freePort(), 8, 1);
        try (ControllerLink sender = openLink(controller, new LinkedBlockingQueue<>());
                ControllerLink receiver = openLink(other, new LinkedBlockingQueue<>())) {
            sender.setController(controller);
            receiver.setController(controller);
            sender.publish(update(3, 41));
            for (ControllerLink link : List.of(sender, receiver)) {
                link.addRouter(controller);
                link.addRouter(other);
                link.startNetwork("a secret of the test");
            }
            awaitLine("peer-connected peer=r2 sentVersion=3 sentRevision=41");

            sender.publish(update(4, 42));

            assertThat(lines).contains("operator-update-sent version=4 revision=42 routers=1");
        }
    }

    private void awaitLine(String expected) throws InterruptedException {
        String line = lines.poll(10, TimeUnit.SECONDS);
        while (line != null && !line.equals(expected)) {
            line = lines.poll(10, TimeUnit.SECONDS);
        }
        assertThat(line).isEqualTo(expected);
    }

    private static void await(CountDownLatch latch) {
        try {
            assertThat(latch.await(10, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
