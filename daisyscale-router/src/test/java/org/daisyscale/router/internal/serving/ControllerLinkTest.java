package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.daisyscale.core.keys.KeyEvent;
import org.daisyscale.core.keys.KeyLoad;
import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.serving.ServingRouterSettings.Address;
import org.junit.jupiter.api.Test;

class ControllerLinkTest {
    private static final Address ADDRESS = new Address("127.0.0.1", 0);

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
                new ArrayRing<>("updates", 1))) {
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

    private static void await(CountDownLatch latch) {
        try {
            assertThat(latch.await(10, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
