package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
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

/** Guards against callers that read no responses and take the memory of the router from the others. */
class UnreadResponsesTest {
    private static final Duration NOTHING_MORE = Duration.ofMillis(500);
    private static final Duration WAIT = Duration.ofSeconds(5);
    private static final int REPLY_BYTES = 3_000_000;
    private static final long BUDGET_BYTES = 40_000_000;

    private final Ring<ServingEvent> events = new ArrayRing<>("decisions", 1_024);
    private final ExchangeRegistry exchanges = new ExchangeRegistry();
    private final ByteBudget budget = new ByteBudget(BUDGET_BYTES);
    private final ServingHandler handler = new ServingHandler(
            new PathDialect(), events, exchanges, new CallerConnections(), budget, new ServingMetrics());
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

    private Socket send(String path, int count) throws IOException {
        Socket socket = new Socket(address.host(), address.port());
        socket.setSoTimeout((int) WAIT.toMillis());
        String request = "GET %s HTTP/1.1\r\nHost: h\r\n\r\n".formatted(path);
        socket.getOutputStream().write(request.repeat(count).getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private List<Exchange> passedOn() throws InterruptedException {
        List<Exchange> passedOn = new ArrayList<>();
        Optional<ServingEvent> event = events.poll(WAIT);
        while (event.isPresent()) {
            if (event.get() instanceof ServingEvent.RequestArrived arrived) {
                passedOn.add(exchanges.find(arrived.requestId()));
            }
            event = events.poll(NOTHING_MORE);
        }
        return passedOn;
    }

    private void answer(Exchange exchange, int bytes) {
        exchanges.remove(exchange.requestId());
        exchange.end(new Exchange.Outcome.Answered(new WireReply(200, new DefaultHttpHeaders(), new byte[bytes])));
    }

    private static String head(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            head.append((char) socket.getInputStream().read());
        }
        return head.toString();
    }

    private void awaitFreeBudget() throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (budget.usedBytes() > 0 && System.nanoTime() - endNanos < 0) {
            Thread.sleep(10);
        }
        assertThat(budget.usedBytes()).isZero();
    }

    @Test
    void shouldPassOnOnlyABoundedNumberOfRequestsOfACallerThatReadsNoResponses() throws Exception {
        try (Socket slow = send("/slow", 100)) {
            List<Exchange> passedOn = passedOn();
            assertThat(passedOn).hasSize(ResponseOrder.MAX_PENDING);
            passedOn.forEach(exchange -> answer(exchange, 100));

            for (int index = 0; index < ResponseOrder.MAX_PENDING; index++) {
                assertThat(head(slow)).startsWith("HTTP/1.1 200");
                slow.getInputStream().skipNBytes(100);
            }
            assertThat(head(slow)).startsWith("HTTP/1.1 503").containsIgnoringCase("retry-after");
        }
    }

    @Test
    void shouldCountResponsesUntilTheirCallerReadThemAndServeOthersMeanwhile() throws Exception {
        try (Socket slow = send("/slow", 4)) {
            passedOn().forEach(exchange -> answer(exchange, REPLY_BYTES));
            Thread.sleep(NOTHING_MORE.toMillis());
            assertThat(budget.usedBytes()).isGreaterThanOrEqualTo(2 * REPLY_BYTES);

            try (Socket other = send("/other", 1)) {
                passedOn().forEach(exchange -> answer(exchange, 10));
                assertThat(head(other)).startsWith("HTTP/1.1 200");
            }
            for (int index = 0; index < 4; index++) {
                assertThat(head(slow)).startsWith("HTTP/1.1 200");
                slow.getInputStream().skipNBytes(REPLY_BYTES);
            }
            awaitFreeBudget();
        }
    }

    @Test
    void shouldFreeTheMemoryOfResponsesWhoseCallerLeaves() throws Exception {
        try (Socket slow = send("/slow", 4)) {
            passedOn().forEach(exchange -> answer(exchange, REPLY_BYTES));
            Thread.sleep(NOTHING_MORE.toMillis());
        }

        awaitFreeBudget();
    }

    @Test
    void shouldRejectRequestsAsNotRunWhileAllMemoryForCallersIsTaken() throws Exception {
        try (Socket slow = send("/slow", 20)) {
            passedOn().forEach(exchange -> answer(exchange, REPLY_BYTES));
            Thread.sleep(NOTHING_MORE.toMillis());
            assertThat(budget.usedBytes()).isGreaterThan(BUDGET_BYTES);

            try (Socket other = send("/other", 1)) {
                assertThat(head(other)).startsWith("HTTP/1.1 503").containsIgnoringCase("retry-after");
            }
        }
        awaitFreeBudget();
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
