package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;
import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.serving.ServingRouterSettings.Address;
import org.junit.jupiter.api.Test;

/** Guards against a controller that no longer answers for its key maps because its predecessor published once more. */
class KeyMapAfterHandOverTest {
    private static final KeyMap OLDER = map(1);
    private static final KeyMap NEWER = map(2);

    private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();

    private static KeyMap map(long version) {
        Owner owner = new Owner("s1", 1, "10.0.0.1", 80);
        return new KeyMap("s", version, 0, 9, List.of(KeyAssignment.first(0, KeyMap.KEY_COUNT - 1, owner, 1)));
    }

    private static RouterEntry router(String id, long leaseId) throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return new RouterEntry(id, "127.0.0.1", socket.getLocalPort(), leaseId, 1);
        }
    }

    private ControllerLink open(RouterEntry router, BlockingQueue<ServingEvent> servingEvents) {
        return new ControllerLink(
                router.routerId(),
                new Address(router.host(), router.port()),
                servingEvents::add,
                event -> {},
                (event, detail) -> lines.add(router.routerId() + " " + event + " " + detail));
    }

    private static void start(ControllerLink link, RouterEntry controller, RouterEntry... routers) {
        List.of(routers).forEach(link::addRouter);
        link.setController(controller);
        link.startNetwork("a secret of the test");
    }

    private void awaitLine(String expected) throws InterruptedException {
        String line = lines.poll(10, TimeUnit.SECONDS);
        while (line != null && !line.equals(expected)) {
            line = lines.poll(10, TimeUnit.SECONDS);
        }
        assertThat(line).isEqualTo(expected);
    }

    private static KeyMap nextMap(BlockingQueue<ServingEvent> events) throws InterruptedException {
        ServingEvent event = events.poll(5, TimeUnit.SECONDS);
        assertThat(event).isInstanceOf(ServingEvent.KeyMapChanged.class);
        return ((ServingEvent.KeyMapChanged) event).map();
    }

    @Test
    void shouldSendItsMapsToARouterThatConnectsAfterThePredecessorPublishedOnceMore() throws Exception {
        RouterEntry predecessor = router("r1", 1);
        RouterEntry controller = router("r2", 2);
        RouterEntry newcomer = router("r3", 3);
        BlockingQueue<ServingEvent> atController = new LinkedBlockingQueue<>();
        BlockingQueue<ServingEvent> atNewcomer = new LinkedBlockingQueue<>();
        try (ControllerLink old = open(predecessor, new LinkedBlockingQueue<>());
                ControllerLink current = open(controller, atController);
                ControllerLink late = open(newcomer, atNewcomer)) {
            start(old, predecessor, predecessor, controller);
            start(current, controller, predecessor, controller, newcomer);
            awaitLine("r1 peer-connected peer=r2");
            current.publish(NEWER);
            assertThat(nextMap(atController)).isEqualTo(NEWER);
            old.publish(OLDER);
            assertThat(nextMap(atController)).isEqualTo(OLDER);

            start(late, controller, predecessor, controller, newcomer);
            awaitLine("r3 peer-connected peer=r2");

            assertThat(nextMap(atNewcomer)).isEqualTo(NEWER);
        }
    }
}
