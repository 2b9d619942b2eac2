package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
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
import org.daisyscale.router.serving.WireReply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import ratpack.server.RatpackServer;

/**
 * To a caller, requests behind a response that closes the connection were not read, and so did not run. Hence no
 * request that was passed on may stand behind such a response.
 */
class PipelinedRequestsTest {
    private static final Duration WAIT = Duration.ofSeconds(5);
    private static final Duration NOTHING_MORE = Duration.ofMillis(300);

    private final Ring<ServingEvent> events = new ArrayRing<>("decisions", 64);
    private final ExchangeRegistry exchanges = new ExchangeRegistry();
    private final CallerConnections connections = new CallerConnections();
    private final ServingHandler handler = new ServingHandler(
            new PathDialect(), events, exchanges, connections, new ByteBudget(1 << 20), new ServingMetrics());
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

    private Socket connect() throws IOException {
        Socket socket = new Socket(address.host(), address.port());
        socket.setSoTimeout((int) WAIT.toMillis());
        return socket;
    }

    private static void send(Socket socket, String... paths) throws IOException {
        StringBuilder requests = new StringBuilder();
        for (String path : paths) {
            requests.append("GET ").append(path).append(" HTTP/1.1\r\nHost: h\r\n\r\n");
        }
        socket.getOutputStream().write(requests.toString().getBytes(StandardCharsets.US_ASCII));
    }

    private Exchange awaitPassedOn() throws InterruptedException {
        ServingEvent event = events.poll(WAIT).orElseThrow();
        return exchanges.find(((ServingEvent.RequestArrived) event).requestId());
    }

    private void answer(Exchange exchange, int bodyBytes) {
        byte[] body = (exchange.head().path() + "x".repeat(bodyBytes)).getBytes(StandardCharsets.US_ASCII);
        exchanges.remove(exchange.requestId());
        exchange.end(new Exchange.Outcome.Answered(new WireReply(200, new DefaultHttpHeaders(), body)));
    }

    private static String readToEnd(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    @Test
    void shouldAnswerEachRequestThatWasPassedOnBeforeItClosesTheConnectionForAStop() throws Exception {
        try (Socket caller = connect()) {
            send(caller, "/first", "/second", "/third");
            Exchange first = awaitPassedOn();
            Exchange second = awaitPassedOn();
            Exchange third = awaitPassedOn();

            connections.startClosing();
            answer(first, 0);
            Thread.sleep(NOTHING_MORE.toMillis());
            answer(third, 0);
            answer(second, 0);

            assertThat(readToEnd(caller)).containsSubsequence("/first", "/second", "connection: close", "/third");
        }
    }

    @Test
    void shouldNotPassOnARequestThatArrivesBehindTheResponseThatClosesItsConnection() throws Exception {
        try (Socket caller = connect()) {
            send(caller, "/first");
            Exchange first = awaitPassedOn();
            connections.startClosing();
            answer(first, 50_000_000);
            Thread.sleep(NOTHING_MORE.toMillis());

            send(caller, "/second");

            assertThat(events.poll(NOTHING_MORE)).isEmpty();
            assertThat(readToEnd(caller)).doesNotContain("/second");
        }
    }

    /** Guards against a process that waits for such a request, whose response can't be sent before the earlier one. */
    @Test
    void shouldNotPassOnARequestBehindOneThatIsStillOpenDuringAStop() throws Exception {
        try (Socket caller = connect()) {
            send(caller, "/first");
            Exchange first = awaitPassedOn();
            connections.startClosing();

            send(caller, "/second", "/third");

            assertThat(events.poll(NOTHING_MORE)).isEmpty();
            answer(first, 0);
            assertThat(readToEnd(caller))
                    .containsSubsequence("200 OK", "connection: close", "/first")
                    .doesNotContain("/second", "/third", "503");
        }
    }

    @Test
    void shouldPassOnTheFirstRequestOfAConnectionDuringAStop() throws Exception {
        try (Socket caller = connect()) {
            connections.startClosing();
            send(caller, "/first");
            answer(awaitPassedOn(), 0);

            assertThat(readToEnd(caller)).containsSubsequence("200 OK", "/first");
        }
    }

    /** Guards against responses that are ready and lost because the process ends before an earlier one is. */
    @Test
    void shouldSendReadyResponsesBehindALongerOneBeforeTheProcessEnds() throws Exception {
        try (Socket caller = connect()) {
            send(caller, "/first", "/second", "/third", "/fourth");
            awaitPassedOn();
            Exchange second = awaitPassedOn();
            awaitPassedOn();
            Exchange fourth = awaitPassedOn();
            connections.startClosing();
            answer(second, 0);
            Thread.sleep(NOTHING_MORE.toMillis());

            connections.giveUpBlocking();
            Thread.sleep(NOTHING_MORE.toMillis());
            answer(fourth, 0);

            assertThat(readToEnd(caller)).containsSubsequence("502", "200 OK", "/second", "502", "200 OK", "/fourth");
        }
    }

    @Test
    void shouldNotGiveUpARequestBehindWhichNoResponseIsReady() throws Exception {
        try (Socket caller = connect()) {
            send(caller, "/first", "/second");
            Exchange first = awaitPassedOn();
            Exchange second = awaitPassedOn();
            connections.startClosing();

            connections.giveUpBlocking();
            Thread.sleep(NOTHING_MORE.toMillis());
            answer(first, 0);
            answer(second, 0);

            assertThat(readToEnd(caller)).containsSubsequence("200 OK", "/first", "200 OK", "/second");
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
