package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;
import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.serving.ServingRouterSettings.Address;
import org.junit.jupiter.api.Test;

/** A key map that the controller published must reach each connected router, also when no other follows it. */
class KeyMapDeliveryTest {
    private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();

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

    /** Waits until each of {@code expected} was reported, in any order. */
    private void awaitLines(String... expected) throws InterruptedException {
        Set<String> missing = new HashSet<>(Set.of(expected));
        String line = lines.poll(10, TimeUnit.SECONDS);
        while (line != null && !(missing.remove(line) && missing.isEmpty())) {
            line = lines.poll(10, TimeUnit.SECONDS);
        }
        assertThat(missing).isEmpty();
    }

    private static KeyMap mapOfVersion(long version) {
        KeyAssignment all = KeyAssignment.first(0, KeyMap.KEY_COUNT - 1, new Owner("s1", 1, "10.0.0.1", 80), 1);
        return new KeyMap("s", version, 0, 9, List.of(all));
    }

    private static void startNetwork(List<RouterEntry> routers, ControllerLink... links) {
        for (ControllerLink link : links) {
            routers.forEach(link::addRouter);
            link.startNetwork("a secret of the test");
        }
    }

    /** Guards against routers that keep an old key map because the newest one was published too early to be sent. */
    @Test
    void shouldGiveARouterTheKeyMapThatWasPublishedBeforeThisRouterKnewItselfAsController() throws Exception {
        RouterEntry controller = new RouterEntry("r1", "127.0.0.1", freePort(), 7, 1);
        RouterEntry other = new RouterEntry("r2", "127.0.0.1", freePort(), 8, 1);
        BlockingQueue<ServingEvent> atOther = new LinkedBlockingQueue<>();
        try (ControllerLink sender = openLink(controller, new LinkedBlockingQueue<>());
                ControllerLink receiver = openLink(other, atOther)) {
            sender.publish(mapOfVersion(2));
            sender.setController(controller);
            receiver.setController(controller);

            startNetwork(List.of(controller, other), sender, receiver);

            assertThat(nextMap(atOther)).isEqualTo(mapOfVersion(2));
        }
    }

    /** Guards against a former controller that reconnects before the new one knows itself and keeps its own key map. */
    @Test
    void shouldGiveAFormerControllerTheKeyMapWhenItConnectsBeforeThisRouterKnowsItselfAsController() throws Exception {
        RouterEntry controller = new RouterEntry("r1", "127.0.0.1", freePort(), 7, 1);
        RouterEntry former = new RouterEntry("r2", "127.0.0.1", freePort(), 8, 1);
        BlockingQueue<ServingEvent> atFormer = new LinkedBlockingQueue<>();
        try (ControllerLink sender = openLink(controller, new LinkedBlockingQueue<>());
                ControllerLink receiver = openLink(former, atFormer)) {
            sender.setController(former);
            receiver.setController(former);
            sender.publish(mapOfVersion(2));

            startNetwork(List.of(controller, former), sender, receiver);

            assertThat(nextMap(atFormer)).isEqualTo(mapOfVersion(2));
        }
    }

    /** Guards against a late key map of a former controller that makes the new one forget what it published. */
    @Test
    void shouldGiveARouterThatConnectsItsOwnKeyMapAfterAFormerControllerSentAnOlderOne() throws Exception {
        RouterEntry controller = new RouterEntry("r1", "127.0.0.1", freePort(), 7, 1);
        RouterEntry former = new RouterEntry("r2", "127.0.0.1", freePort(), 8, 1);
        RouterEntry other = new RouterEntry("r3", "127.0.0.1", freePort(), 9, 1);
        BlockingQueue<ServingEvent> atController = new LinkedBlockingQueue<>();
        BlockingQueue<ServingEvent> atOther = new LinkedBlockingQueue<>();
        try (ControllerLink sender = openLink(controller, atController);
                ControllerLink formerLink = openLink(former, new LinkedBlockingQueue<>());
                ControllerLink receiver = openLink(other, atOther)) {
            for (ControllerLink link : List.of(sender, formerLink, receiver)) {
                link.setController(controller);
            }
            connect(controller, sender, former, formerLink);
            sender.publish(mapOfVersion(2));
            assertThat(nextMap(atController)).isEqualTo(mapOfVersion(2));
            formerLink.send("r1", new PeerMessage.KeyMapUpdate(mapOfVersion(1)));
            assertThat(nextMap(atController)).isEqualTo(mapOfVersion(1));

            startNetwork(List.of(controller, other), sender, receiver);

            assertThat(nextMap(atOther)).isEqualTo(mapOfVersion(2));
        }
    }

    /** Guards against a router that asks for a key map which the controller knows and does not send. */
    @Test
    void shouldAnswerARequestForAKeyMapAfterAFormerControllerSentAnOlderOne() throws Exception {
        RouterEntry controller = new RouterEntry("r1", "127.0.0.1", freePort(), 7, 1);
        RouterEntry former = new RouterEntry("r2", "127.0.0.1", freePort(), 8, 1);
        BlockingQueue<ServingEvent> atFormer = new LinkedBlockingQueue<>();
        try (ControllerLink sender = openLink(controller, new LinkedBlockingQueue<>());
                ControllerLink formerLink = openLink(former, atFormer)) {
            sender.setController(controller);
            formerLink.setController(controller);
            connect(controller, sender, former, formerLink);
            sender.publish(mapOfVersion(2));
            assertThat(nextMap(atFormer)).isEqualTo(mapOfVersion(2));

            formerLink.send("r1", new PeerMessage.KeyMapUpdate(mapOfVersion(1)));
            formerLink.send("r1", new PeerMessage.KeyMapRequest("s"));

            assertThat(nextMap(atFormer)).isEqualTo(mapOfVersion(2));
        }
    }

    /** Guards against a router that waits for the next change after it missed the last one. */
    @Test
    void shouldGiveARouterTheKeyMapThatWasPublishedWhileItWasDisconnected() throws Exception {
        RouterEntry controller = new RouterEntry("r1", "127.0.0.1", freePort(), 7, 1);
        RouterEntry other = new RouterEntry("r2", "127.0.0.1", freePort(), 8, 1);
        BlockingQueue<ServingEvent> atOther = new LinkedBlockingQueue<>();
        try (ControllerLink sender = openLink(controller, new LinkedBlockingQueue<>());
                ControllerLink receiver = openLink(other, atOther)) {
            sender.setController(controller);
            receiver.setController(controller);
            connect(controller, sender, other, receiver);
            sender.publish(mapOfVersion(2));
            assertThat(nextMap(atOther)).isEqualTo(mapOfVersion(2));
            sender.addRouter(new RouterEntry("r2", "127.0.0.1", FollowingRouters.CLOSED_PORT, 8, 1));
            awaitLines("peer-lost peer=r1", "peer-lost peer=r2");
            sender.publish(mapOfVersion(3));

            sender.addRouter(other);

            assertThat(nextMap(atOther)).isEqualTo(mapOfVersion(3));
        }
    }

    /** Guards against changes that never apply because a new controller and a router hold different key maps. */
    @Test
    void shouldGiveARouterTheKeyMapOfANewControllerThatSkippedVersions() throws Exception {
        RouterEntry former = new RouterEntry("r1", "127.0.0.1", freePort(), 7, 1);
        RouterEntry controller = new RouterEntry("r2", "127.0.0.1", freePort(), 8, 1);
        BlockingQueue<ServingEvent> atFormer = new LinkedBlockingQueue<>();
        try (ControllerLink formerLink = openLink(former, atFormer);
                ControllerLink sender = openLink(controller, new LinkedBlockingQueue<>())) {
            formerLink.setController(former);
            sender.setController(former);
            sender.publish(mapOfVersion(1));
            connect(former, formerLink, controller, sender);
            assertThat(nextMap(atFormer)).isEqualTo(mapOfVersion(1));
            formerLink.publish(mapOfVersion(5));
            assertThat(nextMap(atFormer)).isEqualTo(mapOfVersion(5));
            formerLink.setController(controller);
            sender.setController(controller);

            sender.publish(mapOfVersion(6));

            assertThat(nextMap(atFormer)).isEqualTo(mapOfVersion(6));
        }
    }
}
