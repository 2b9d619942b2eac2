package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.daisyscale.core.serving.RequestHead;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.request.ByteBudget;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.daisyscale.router.serving.CallerDialect;
import org.daisyscale.router.serving.ServingRouterSettings.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import ratpack.server.RatpackServer;

/** A request that the router rejects itself as not run never reaches the decisions, and so no server. */
class RejectedBeforeDecisionTest {
    private static final long BUDGET_BYTES = 1_000;
    private static final Duration NOTHING_MORE = Duration.ofMillis(300);

    private final Ring<ServingEvent> events = new ArrayRing<>("decisions", 1);
    private final ExchangeRegistry exchanges = new ExchangeRegistry();
    private final CallerConnections connections = new CallerConnections();
    private final ServingHandler handler = new ServingHandler(
            new PathDialect(), events, exchanges, connections, new ByteBudget(BUDGET_BYTES), new ServingMetrics());
    private Address address;
    private RatpackServer server;

    @BeforeEach
    void startServer() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            address = new Address("127.0.0.1", socket.getLocalPort());
        }
        server = HttpServers.start(address, handler);
    }

    @AfterEach
    void stopServer() {
        HttpServers.stop(server);
    }

    private Socket send(String path, int bodyBytes) throws IOException {
        Socket socket = new Socket(address.host(), address.port());
        socket.setSoTimeout(5_000);
        String request = "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n".formatted(path, bodyBytes)
                + "x".repeat(bodyBytes);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private static String statusLine(Socket socket) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = socket.getInputStream().read();
        while (next >= 0 && next != '\r') {
            line.append((char) next);
            next = socket.getInputStream().read();
        }
        return line.toString();
    }

    @Test
    void shouldNotPassOnARequestThatItRejectsBecauseTheRingIsFull() throws Exception {
        events.put(new ServingEvent.TimePassed());
        try (Socket caller = send("/first", 0)) {
            assertThat(statusLine(caller)).startsWith("HTTP/1.1 503 ");

            assertThat(events.poll(NOTHING_MORE)).containsInstanceOf(ServingEvent.TimePassed.class);
            assertThat(events.poll(NOTHING_MORE)).isEmpty();
            assertThat(exchanges.size()).isZero();
        }
    }

    @Test
    void shouldNotPassOnARequestThatItRejectsBecauseTheBuffersAreFull() throws Exception {
        try (Socket caller = send("/first", (int) BUDGET_BYTES + 1)) {
            assertThat(statusLine(caller)).startsWith("HTTP/1.1 503 ");

            assertThat(events.poll(NOTHING_MORE)).isEmpty();
        }
    }

    @Test
    void shouldNotPassOnARequestThatItRejectsWhileItStops() throws Exception {
        connections.startClosing();
        connections.startRejecting();
        try (Socket caller = send("/first", 0)) {
            assertThat(statusLine(caller)).startsWith("HTTP/1.1 503 ");

            assertThat(events.poll(NOTHING_MORE)).isEmpty();
        }
    }

    /** Reads the path only. */
    private static final class PathDialect implements CallerDialect {

        @Override
        public RequestHead readHead(String path, HttpHeaders headers, int bodyBytes) {
            return new RequestHead("h", path, 1_500, RequestHead.NO_KEY, bodyBytes, "id");
        }

        @Override
        public String retryAfter(long millis) {
            return String.valueOf(millis);
        }
    }
}
