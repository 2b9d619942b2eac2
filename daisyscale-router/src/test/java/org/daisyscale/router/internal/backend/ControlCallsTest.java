package org.daisyscale.router.internal.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.membership.ServerStatus;
import org.daisyscale.core.ownership.Grant;
import org.daisyscale.core.ownership.GrantedSlice;
import org.daisyscale.router.internal.assembly.RawBackend;
import org.daisyscale.router.internal.metrics.RouterMetrics;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ControlCallsTest {
    private static final BackendSettings SETTINGS = new BackendSettings(1, 2, 50, 1_000, 300, 10);
    private static final long FAR_AHEAD_NANOS = 60_000_000_000L;

    private final Ring<Event> events = new ArrayRing<>("events", 10);
    private final BackendClients clients = BackendClients.open(SETTINGS);
    private final ControlCalls calls = ControlCalls.start(clients, SETTINGS, events, new RouterMetrics());

    @AfterEach
    void close() {
        calls.close();
        clients.close();
    }

    @Test
    void shouldReportAServersStatusWithTheTimesOfSendingAndReceiving() throws Exception {
        String status = "{\"incarnation\":\"life-1\",\"clockMillis\":5,\"isDraining\":true,\"runningCount\":2,"
                + "\"load\":0.5,\"grantedMapVersion\":9,\"later\":1}";
        long beforeNanos = System.nanoTime();
        try (RawBackend backend = new RawBackend(orderId -> json(200, status))) {
            calls.probe(new Action.ProbeServer("server-1", "127.0.0.1", backend.port()));

            Event.ProbeAnswered answered = (Event.ProbeAnswered) nextEvent();

            assertThat(answered.status()).isEqualTo(new ServerStatus("life-1", 5, true, 2, 0.5, 9));
            assertThat(answered.sentNanos()).isBetween(beforeNanos, answered.receivedNanos());
        }
    }

    @Test
    void shouldNotTakeTheAnswerToAnEarlierGrantForTheStatusOfAServer() throws Exception {
        try (RawBackend backend = new RawBackend(orderId -> json(200, "{\"isAccepted\":true,\"mapVersion\":4}"))) {
            calls.probe(new Action.ProbeServer("server-1", "127.0.0.1", backend.port()));

            assertThat(nextEvent()).isInstanceOf(Event.ProbeFailed.class);
        }
    }

    @Test
    void shouldFailAProbeOfAnUnresponsiveServerWithinTheTimeout() throws Exception {
        try (RawBackend backend = new RawBackend(orderId -> "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n")) {
            long beforeNanos = System.nanoTime();
            calls.probe(new Action.ProbeServer("server-1", "127.0.0.1", backend.port()));

            Event event = nextEvent();

            assertThat(event).isInstanceOf(Event.ProbeFailed.class);
            assertThat(Duration.ofNanos(System.nanoTime() - beforeNanos)).isLessThan(Duration.ofSeconds(3));
        }
    }

    @Test
    void shouldSendAGrantInTheDocumentedFormatAndReportItsAcceptance() throws Exception {
        try (RawBackend backend = new RawBackend(orderId -> json(200, "{\"isAccepted\":true,\"mapVersion\":4}"))) {
            calls.grant(grantTo(backend.port(), System.nanoTime() + FAR_AHEAD_NANOS));

            Event event = nextEvent();

            assertThat(event).isEqualTo(new Event.GrantAnswered("server-1", 4, true, 4));
            assertThat(backend.requestHeads().get(0))
                    .startsWith("PUT /daisyscale/grant")
                    .endsWith("{\"server\":\"server-1\",\"incarnation\":\"life-1\",\"mapVersion\":4,"
                            + "\"expiresAtServerMillis\":99,"
                            + "\"slices\":[{\"startHash\":0,\"endHash\":10,\"epoch\":3}]}");
        }
    }

    @Test
    void shouldReportARejectedGrantWithTheServersMapVersion() throws Exception {
        try (RawBackend backend = new RawBackend(orderId -> json(409, "{\"isAccepted\":false,\"mapVersion\":8}"))) {
            calls.grant(grantTo(backend.port(), System.nanoTime() + FAR_AHEAD_NANOS));

            Event event = nextEvent();

            assertThat(event).isEqualTo(new Event.GrantAnswered("server-1", 4, false, 8));
        }
    }

    @Test
    void shouldNotTakeTheAcceptanceOfAnEarlierGrantForTheAnswerToALaterOne() throws Exception {
        try (RawBackend backend = new RawBackend(orderId -> json(200, "{\"isAccepted\":true,\"mapVersion\":3}"))) {
            calls.grant(grantTo(backend.port(), System.nanoTime() + FAR_AHEAD_NANOS));

            Event event = nextEvent();

            assertThat(event).isEqualTo(new Event.GrantUnanswered("server-1", 4));
        }
    }

    @Test
    void shouldNotSendAGrantWhoseTimeToSendHasPassed() throws Exception {
        try (RawBackend backend = new RawBackend(orderId -> json(200, "{\"isAccepted\":true,\"mapVersion\":4}"))) {
            calls.grant(grantTo(backend.port(), System.nanoTime() - 1));

            Event event = nextEvent();

            assertThat(event).isEqualTo(new Event.GrantUnanswered("server-1", 4));
            assertThat(backend.connectionCount()).isZero();
        }
    }

    private Event nextEvent() throws InterruptedException {
        return events.poll(Duration.ofSeconds(10)).orElseThrow();
    }

    private static Action.SendGrant grantTo(int port, long sendBeforeNanos) {
        Grant grant = new Grant("server-1", "life-1", 4, 99, List.of(new GrantedSlice(0, 10, 3)));
        return new Action.SendGrant("127.0.0.1", port, grant, sendBeforeNanos);
    }

    private static String json(int status, String body) {
        return "HTTP/1.1 %d x\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n%s"
                .formatted(status, body.length(), body);
    }
}
