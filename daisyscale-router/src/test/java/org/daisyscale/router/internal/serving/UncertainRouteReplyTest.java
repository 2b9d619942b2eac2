package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.daisyscale.core.serving.RequestHead;
import org.daisyscale.core.serving.RequestRouter;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.core.serving.ServingSettings;
import org.daisyscale.router.internal.duty.DutyThread;
import org.daisyscale.router.internal.request.ByteBudget;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.daisyscale.router.serving.CallerDialect;
import org.daisyscale.router.serving.ServingRouterSettings.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import ratpack.server.RatpackServer;

/** Checks on the wire what callers of an unknown route get while the router's configuration may be out of date. */
class UncertainRouteReplyTest {
    private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)content-length: *(\\d+)");
    private static final Pattern RETRY_AFTER_MILLIS = Pattern.compile("(?i)retry-after: *(\\d+)");
    private static final long OUTAGE_NANOS = 600_000_000_000L;
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private final Ring<ServingEvent> events = new ArrayRing<>("decisions", 64);
    private final Queue<String> lines = new ConcurrentLinkedQueue<>();
    private RatpackServer server;
    private DutyThread decisions;
    private Socket socket;

    @BeforeEach
    void startRouter() throws Exception {
        ExchangeRegistry exchanges = new ExchangeRegistry();
        ServingMetrics metrics = new ServingMetrics();
        ServingDuty duty = new ServingDuty(
                RequestRouter.create(new ServingSettings("r1", "dc1", 1, 1.5, 5, 0.2, 60, 10_000, 2_000, 5_000)),
                events,
                exchanges,
                new AttemptSender(null, null, ended -> {}),
                new HealthCheckSender(null, null, event -> {}),
                load -> {},
                news -> {},
                losses -> {},
                report -> {},
                (event, detail) -> lines.add(event + " " + detail),
                metrics);
        decisions = DutyThread.start("decisions", duty::runStep);
        Address address = new Address("127.0.0.1", freePort());
        ServingHandler handler = new ServingHandler(
                new MillisDialect(), events, exchanges, new CallerConnections(), new ByteBudget(1 << 20), metrics);
        server = HttpServers.start(address, handler);
        events.put(new ServingEvent.EvacuationsChanged(Set.of()));
        events.put(new ServingEvent.TableChanged(NumberedConfigurations.table(403)));
        socket = new Socket(address.host(), address.port());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    }

    @AfterEach
    void stopRouter() throws IOException {
        socket.close();
        HttpServers.stop(server);
        decisions.close();
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    private void confirm(long nanos) throws InterruptedException {
        events.put(new ServingEvent.ConfigurationConfirmed(nanos));
    }

    /** Sends requests, pipelined on the connection of the test, and returns the replies. */
    private List<String> send(String... methods) throws IOException {
        StringBuilder requests = new StringBuilder();
        for (String method : methods) {
            requests.append(method).append(" /new/1 HTTP/1.1\r\nHost: h\r\n");
            requests.append("POST".equals(method) ? "Content-Length: 5\r\n\r\ndough" : "\r\n");
        }
        socket.getOutputStream().write(requests.toString().getBytes(StandardCharsets.US_ASCII));
        List<String> replies = new ArrayList<>();
        for (String method : methods) {
            replies.add(readReply("HEAD".equals(method)));
        }
        return replies;
    }

    private String readReply(boolean isWithoutBody) throws IOException {
        InputStream input = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            int read = input.read();
            assertThat(read).as("a byte after %s", head).isNotNegative();
            head.append((char) read);
        }
        Matcher length = CONTENT_LENGTH.matcher(head);
        assertThat(length.find()).as("a length in %s", head).isTrue();
        int bodyBytes = isWithoutBody ? 0 : Integer.parseInt(length.group(1));
        return head + new String(input.readNBytes(bodyBytes), StandardCharsets.UTF_8);
    }

    private static long retryAfterMillis(String reply) {
        Matcher matcher = RETRY_AFTER_MILLIS.matcher(reply);
        assertThat(matcher.find()).as("a Retry-After in %s", reply).isTrue();
        return Long.parseLong(matcher.group(1));
    }

    @Test
    void shouldReply404WhileTheConfigurationIsCurrent() throws Exception {
        confirm(System.nanoTime());

        String reply = send("GET").get(0);

        assertThat(reply).startsWith("HTTP/1.1 404 ").contains("DSC-1010").doesNotContainIgnoringCase("Retry-After:");
    }

    @Test
    void shouldReply503WithARetryAfterInALongOutageOfTheStore() throws Exception {
        confirm(System.nanoTime() - OUTAGE_NANOS);

        String reply = send("GET").get(0);

        assertThat(reply).startsWith("HTTP/1.1 503 ").contains("DSC-1011").contains("Daisyscale-Outcome: not-run");
        assertThat(retryAfterMillis(reply)).isBetween(700L, 849L);
        assertThat(lines)
                .filteredOn(line -> line.startsWith("request-failed "))
                .singleElement()
                .asString()
                .contains(" code=DSC-1011 ")
                .containsPattern(" configurationVersion=403 viewAgeMillis=600\\d{3} source=store sourceRevision=0$");
    }

    @Test
    void shouldReply503BeforeTheConfigurationIsKnownToBeComplete() throws Exception {
        assertThat(send("GET").get(0)).startsWith("HTTP/1.1 503 ").contains("DSC-1011");
    }

    @Test
    void shouldKeepTheConnectionInStepAfterRejectionsOfAnyMethod() throws Exception {
        confirm(System.nanoTime() - OUTAGE_NANOS);

        List<String> replies = send("HEAD", "POST", "HEAD", "GET");

        assertThat(replies)
                .allSatisfy(reply ->
                        assertThat(reply).startsWith("HTTP/1.1 503 ").doesNotContainIgnoringCase("Connection: close"));
        assertThat(replies.get(0)).endsWith("\r\n\r\n").doesNotContainIgnoringCase("content-length: 0\r\n");
        assertThat(replies.get(1)).contains("DSC-1011");
        assertThat(replies.get(2)).endsWith("\r\n\r\n").doesNotContainIgnoringCase("content-length: 0\r\n");
        assertThat(replies.get(3)).contains("DSC-1011");
    }

    @Test
    void shouldReply404OnTheSameConnectionOnceTheConfigurationIsCurrentAgain() throws Exception {
        confirm(System.nanoTime() - OUTAGE_NANOS);
        String inOutage = send("GET").get(0);

        confirm(System.nanoTime());
        String afterwards = send("GET").get(0);

        assertThat(inOutage).startsWith("HTTP/1.1 503 ");
        assertThat(afterwards).startsWith("HTTP/1.1 404 ").contains("DSC-1010");
    }

    private static final class MillisDialect implements CallerDialect {

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
