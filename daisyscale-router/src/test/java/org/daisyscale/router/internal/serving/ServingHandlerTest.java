package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.daisyscale.core.serving.RequestHead;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.request.ByteBudget;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.daisyscale.router.serving.CallerDialect;
import org.daisyscale.router.serving.ServingRouterSettings.Address;
import org.junit.jupiter.api.Test;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;

class ServingHandlerTest {
    /** More connections than an event loop accepts in several turns by default. */
    private static final int CALLERS = 100;

    private static final long HANDLING_MILLIS = 20;
    private static final long BLOCK_MILLIS = 500;
    /** Longer than all requests take together. */
    private static final Duration ALL_HANDLED = Duration.ofMillis(2 * CALLERS * HANDLING_MILLIS);

    private final Ring<ServingEvent> events = new ArrayRing<>("decisions", 1_024);
    private final ServingHandler handler = new ServingHandler(
            new PlainDialect(),
            events,
            new ExchangeRegistry(),
            new CallerConnections(),
            new ByteBudget(1 << 20),
            new ServingMetrics());

    /** Handles requests as slowly as a small VM under load; the path {@code /block} takes longer. */
    private void handleSlowly(Context context) throws InterruptedException {
        Thread.sleep(context.getRequest().getPath().equals("block") ? BLOCK_MILLIS : HANDLING_MILLIS);
        handler.handle(context);
    }

    private static Socket send(Address address, String path) throws IOException {
        Socket socket = new Socket(address.host(), address.port());
        String request = "GET %s HTTP/1.1\r\nHost: h\r\n\r\n".formatted(path);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private List<String> arrivedPaths() throws InterruptedException {
        List<String> paths = new ArrayList<>();
        Optional<ServingEvent> event = events.poll(ALL_HANDLED);
        while (event.isPresent()) {
            if (event.get() instanceof ServingEvent.RequestArrived arrived) {
                paths.add(arrived.head().path());
            }
            event = events.poll(ALL_HANDLED);
        }
        return paths;
    }

    /** Guards against requests that reach servers long after their callers gave up, as after a restart. */
    @Test
    void shouldNotDecideOnRequestsWhoseCallersLeftBeforeTheyWereRead() throws Exception {
        Address address = new Address("127.0.0.1", freePort());
        RatpackServer server = HttpServers.start(address, this::handleSlowly);
        try (Socket first = send(address, "/block")) {
            Thread.sleep(BLOCK_MILLIS / 5);
            List<Socket> impatient = new ArrayList<>();
            for (int caller = 0; caller < CALLERS; caller++) {
                impatient.add(send(address, "/impatient"));
            }
            for (Socket socket : impatient) {
                socket.close();
            }

            List<String> paths = arrivedPaths();
            assertThat(paths).contains("/block");
            assertThat(paths).filteredOn("/impatient"::equals).hasSize(0);
        } finally {
            HttpServers.stop(server);
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private static final class PlainDialect implements CallerDialect {

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
