package org.daisyscale.router.internal.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.ownership.Grant;
import org.daisyscale.core.ownership.GrantedSlice;
import org.daisyscale.router.internal.assembly.RawBackend;
import org.daisyscale.router.internal.metrics.RouterMetrics;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class CopiedGrantAnswerTest {
    private static final BackendSettings SETTINGS = new BackendSettings(1, 2, 50, 1_000, 300, 10);
    private static final String ACCEPTED_BEFORE = "{\"isAccepted\":true,\"mapVersion\":3}";

    private final Ring<Event> events = new ArrayRing<>("events", 10);
    private final BackendClients clients = BackendClients.open(SETTINGS);
    private final ControlCalls calls = ControlCalls.start(clients, SETTINGS, events, new RouterMetrics());

    @AfterEach
    void close() {
        calls.close();
        clients.close();
    }

    @Test
    void shouldNotTakeTheAcceptanceOfAnEarlierMapVersionForThatOfTheGrant() throws Exception {
        String answer = "HTTP/1.1 200 x\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n%s"
                .formatted(ACCEPTED_BEFORE.length(), ACCEPTED_BEFORE);
        Grant grant = new Grant("server-1", "life-1", 4, 99, List.of(new GrantedSlice(0, 10, 3)));
        try (RawBackend backend = new RawBackend(orderId -> answer)) {
            calls.grant(new Action.SendGrant("127.0.0.1", backend.port(), grant, System.nanoTime() + 60_000_000_000L));

            Event event = events.poll(Duration.ofSeconds(10)).orElseThrow();

            assertThat(event).isEqualTo(new Event.GrantUnanswered("server-1", 4));
        }
    }
}
