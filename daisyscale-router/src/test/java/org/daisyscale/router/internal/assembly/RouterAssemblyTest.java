package org.daisyscale.router.internal.assembly;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.junit.jupiter.api.Test;
import ratpack.server.RatpackServer;

class RouterAssemblyTest {
    private static final int FIVE_MEGABYTES = 5 * 1024 * 1024;

    @Test
    void shouldForwardABodyOfFiveMegabytesInBothDirections() throws Exception {
        byte[] body = new byte[FIVE_MEGABYTES];
        new Random(1).nextBytes(body);
        RatpackServer echo = RatpackServer.start(spec -> spec.serverConfig(config -> config.port(0)
                        .address(InetAddress.getLoopbackAddress())
                        .development(false)
                        .maxContentLength(FIVE_MEGABYTES))
                .handler(registry -> context -> context.getRequest().getBody().then(received -> {
                    String orderId = context.getRequest().getHeaders().get("Daisyscale-Order-Id");
                    context.getResponse().getHeaders().set("Daisyscale-Order-Id", orderId);
                    context.getResponse().send("application/octet-stream", received.getBytes());
                })));
        try (RunningRouter router = new RunningRouter(RunningRouter.forwardingTo(echo.getBindPort()))) {
            HttpResponse<byte[]> answer = router.post("/job/echo", body);

            assertThat(answer.statusCode()).isEqualTo(200);
            assertThat(answer.body()).isEqualTo(body);
            assertThat(answer.headers().firstValue("Content-Length")).contains(Integer.toString(FIVE_MEGABYTES));
        } finally {
            echo.stop();
        }
    }

    @Test
    void shouldSendTheOrderHeadersAndNoHopByHopHeaders() throws Exception {
        try (RawBackend backend = new RawBackend(orderId -> answer(orderId, "fine"));
                RunningRouter router = new RunningRouter(RunningRouter.forwardingTo(backend.port()))) {
            HttpResponse<byte[]> answer = router.get("/job/keys/a%20b?x=1");

            String head = backend.requestHeads().get(0);
            assertThat(text(answer)).isEqualTo("fine");
            assertThat(answer.headers().firstValue("Daisyscale-Outcome")).contains("answered");
            assertThat(answer.headers().firstValue("Daisyscale-Order-Id")).isEmpty();
            assertThat(head).startsWith("GET /keys/a%20b?x=1 HTTP/1.1");
            assertThat(head).containsIgnoringCase("Daisyscale-Key-Hash: 42");
            assertThat(head).containsIgnoringCase("Daisyscale-Epoch: 7");
            assertThat(head).containsIgnoringCase("Daisyscale-Deadline: 1234567");
            assertThat(head).doesNotContainIgnoringCase("upgrade").doesNotContainIgnoringCase("http2-settings");
        }
    }

    @Test
    void shouldReuseTheConnectionAfterACompleteAnswer() throws Exception {
        try (RawBackend backend = new RawBackend(orderId -> answer(orderId, "fine"));
                RunningRouter router = new RunningRouter(RunningRouter.forwardingTo(backend.port()))) {
            router.get("/job/one");
            router.get("/job/two");

            assertThat(backend.connectionCount()).isEqualTo(1);
        }
    }

    @Test
    void shouldCloseTheConnectionOfAnAnswerToAnotherOrderAndNotForwardIt() throws Exception {
        try (RawBackend backend = new RawBackend(orderId -> answer("another-order", "not yours"));
                RunningRouter router = new RunningRouter(RunningRouter.forwardingTo(backend.port()))) {
            HttpResponse<byte[]> first = router.get("/job/one");
            HttpResponse<byte[]> second = router.get("/job/two");

            assertThat(List.of(first.statusCode(), second.statusCode())).containsExactly(504, 504);
            assertThat(text(first)).contains("WRONG_ANSWER").doesNotContain("not yours");
            assertThat(backend.connectionCount()).isEqualTo(2);
        }
    }

    @Test
    void shouldNeverForwardATruncatedAnswerAsComplete() throws Exception {
        String truncated = "\r\ncontent-length: 10\r\nconnection: close\r\n\r\nhalf";
        try (RawBackend backend =
                        new RawBackend(orderId -> "HTTP/1.1 200 OK\r\ndaisyscale-order-id: " + orderId + truncated);
                RunningRouter router = new RunningRouter(RunningRouter.forwardingTo(backend.port()))) {
            HttpResponse<byte[]> answer = router.get("/job/one");

            assertThat(answer.statusCode()).isEqualTo(504);
            assertThat(answer.headers().firstValue("Daisyscale-Outcome")).contains("unknown");
            assertThat(text(answer)).contains("WRONG_ANSWER").doesNotContain("half");
        }
    }

    @Test
    void shouldNeverForwardAnAnswerWithATruncatedHeadAsComplete() throws Exception {
        String completeLines = "HTTP/1.1 200 OK\r\nconnection: close\r\n";
        AtomicInteger extraLength = new AtomicInteger();
        UnaryOperator<String> truncatedHead = orderId -> completeLines
                + ("Daisyscale-Order-Id: " + orderId + "\r\ncontent-length: 4\r\n").substring(0, extraLength.get());
        try (RawBackend backend = new RawBackend(truncatedHead);
                RunningRouter router = new RunningRouter(RunningRouter.forwardingTo(backend.port()))) {
            for (int length = 0;
                    length <= "Daisyscale-Order-Id: ".length() + "content-length: 4\r\n".length();
                    length++) {
                extraLength.set(length);
                HttpResponse<byte[]> answer = router.get("/job/one");

                assertThat(answer.statusCode()).as("truncated after " + length).isEqualTo(504);
            }
        }
    }

    @Test
    void shouldReportALostConnectionAsConnectionLost() throws Exception {
        try (RawBackend backend = new RawBackend(orderId -> RawBackend.HANG_UP);
                RunningRouter router = new RunningRouter(RunningRouter.forwardingTo(backend.port()))) {
            HttpResponse<byte[]> answer = router.get("/job/one");

            assertThat(text(answer)).contains("CONNECTION_LOST");
        }
    }

    @Test
    void shouldTimeOutAnUnresponsiveServerAndCloseItsConnection() throws Exception {
        String headersOnly = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\ndaisyscale-order-id: ";
        try (RawBackend backend = new RawBackend(orderId -> headersOnly + orderId + "\r\n\r\n");
                RunningRouter router = new RunningRouter(RunningRouter.forwardingTo(backend.port()))) {
            HttpResponse<byte[]> first = router.get("/job/one");
            router.get("/job/two");

            assertThat(text(first)).contains("TIMED_OUT");
            assertThat(backend.connectionCount()).isEqualTo(2);
        }
    }

    @Test
    void shouldReportARefusedConnectionAsNotSent() throws Exception {
        try (RunningRouter router = new RunningRouter(RunningRouter.forwardingTo(closedPort()))) {
            HttpResponse<byte[]> answer = router.get("/job/one");

            assertThat(answer.statusCode()).isEqualTo(503);
            assertThat(answer.headers().firstValue("Daisyscale-Outcome")).contains("not-run");
            assertThat(text(answer)).contains("NOT_SENT");
        }
    }

    @Test
    void shouldTrustAServerThatStatesThatItDidNotRunTheOrder() throws Exception {
        UnaryOperator<String> shed = orderId -> "HTTP/1.1 503 Busy\r\ndaisyscale-not-run: shed\r\n"
                + "daisyscale-order-id: " + orderId + "\r\ncontent-length: 0\r\n\r\n";
        try (RawBackend backend = new RawBackend(shed);
                RunningRouter router = new RunningRouter(RunningRouter.forwardingTo(backend.port()))) {
            HttpResponse<byte[]> answer = router.get("/job/one");

            assertThat(text(answer)).contains("SHED");
        }
    }

    @Test
    void shouldNotSendAnOrderWhoseTimeToSendHasPassed() throws Exception {
        try (RawBackend backend = new RawBackend(orderId -> answer(orderId, "late"))) {
            ScriptedCore core = new ScriptedCore((event, now) -> event instanceof Event.RequestArrived request
                    ? List.of(expired(RunningRouter.orderTo(backend.port(), request, now, 1_000)))
                    : event instanceof Event.OrderEnded ended ? List.of(CoreScripts.replyTo(ended)) : List.of());
            try (RunningRouter router = new RunningRouter(core)) {
                HttpResponse<byte[]> answer = router.get("/job/one");

                assertThat(text(answer)).contains("NOT_SENT");
                assertThat(backend.requestHeads()).isEmpty();
            }
        }
    }

    private static Action expired(Action.SendOrder order) {
        return new Action.SendOrder(
                order.requestId(), order.permit(), order.sendBeforeNanos() - 10_000_000_000L, order.timeoutMillis());
    }

    @Test
    void shouldRejectAnAnswerOverTheSizeLimit() throws Exception {
        try (RawBackend backend = new RawBackend(orderId -> answer(orderId, "x".repeat(2_000)));
                RunningRouter router =
                        new RunningRouter(RunningRouter.forwardingTo(backend.port()), "--max-answer-bytes=1000")) {
            HttpResponse<byte[]> answer = router.get("/job/one");

            assertThat(text(answer)).contains("WRONG_ANSWER");
        }
    }

    @Test
    void shouldRejectABodyOverTheSizeLimitBeforeItReachesTheCore() throws Exception {
        ScriptedCore core = new ScriptedCore((event, now) -> List.of());
        try (RunningRouter router = new RunningRouter(core, "--max-body-bytes=1000")) {
            HttpResponse<byte[]> answer = router.post("/job/one", new byte[1_001]);

            assertThat(answer.statusCode()).isEqualTo(413);
            assertThat(text(answer)).contains("DSC-1006");
            assertThat(core.hasNone(Event.RequestArrived.class)).isTrue();
        }
    }

    @Test
    void shouldRejectARequestAsNotRunWhenTheBuffersAreFull() throws Exception {
        ScriptedCore core = new ScriptedCore((event, now) -> List.of());
        try (RunningRouter router = new RunningRouter(core, "--max-body-bytes=1000", "--max-buffered-bytes=1000")) {
            CompletableFuture<HttpResponse<byte[]>> held = CompletableFuture.supplyAsync(() -> post(router, 900));
            core.awaitEvent(Event.RequestArrived.class);

            HttpResponse<byte[]> answer = router.post("/job/two", new byte[200]);

            assertThat(answer.statusCode()).isEqualTo(503);
            assertThat(text(answer)).contains("DSC-1101");
            assertThat(held).isNotDone();
        }
    }

    private static HttpResponse<byte[]> post(RunningRouter router, int bodyBytes) {
        try {
            return router.post("/job/one", new byte[bodyBytes]);
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void shouldNotReportATruncatedUploadToTheCore() throws Exception {
        ScriptedCore core = new ScriptedCore((event, now) -> List.of());
        try (RunningRouter router = new RunningRouter(core)) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), router.callerPort())) {
                write(socket, "POST /job/one HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nhalf");
            }
            write(router);

            Event.RequestArrived first = core.awaitEvent(Event.RequestArrived.class);

            assertThat(first.meta().path()).isEqualTo("/whole");
        }
    }

    private static void write(RunningRouter router) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), router.callerPort())) {
            write(socket, "POST /job/whole HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nbody");
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    @Test
    void shouldReportADisconnectedCallerToTheCore() throws Exception {
        ScriptedCore core = new ScriptedCore((event, now) -> List.of());
        try (RunningRouter router = new RunningRouter(core)) {
            Event.RequestArrived arrived;
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), router.callerPort())) {
                write(socket, "POST /job/one HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nbody");
                arrived = core.awaitEvent(Event.RequestArrived.class);
            }

            Event.CallerGone gone = core.awaitEvent(Event.CallerGone.class);

            assertThat(gone.requestId()).isEqualTo(arrived.requestId());
        }
    }

    @Test
    void shouldWaitForTheCoreBeforeStopping() throws Exception {
        ScriptedCore core = new ScriptedCore((event, now) -> List.of());
        RunningRouter router = new RunningRouter(core);
        router.callerPort();

        router.stopSignal().requestStop();
        core.awaitEvent(Event.StopRequested.class);

        assertThatThrownBy(() -> router.end().get(300, TimeUnit.MILLISECONDS)).isInstanceOf(TimeoutException.class);
        router.stopSignal().done();
        router.end().get(10, TimeUnit.SECONDS);
    }

    private static String answer(String orderId, String body) {
        return "HTTP/1.1 200 OK\r\ndaisyscale-order-id: %s\r\ncontent-length: %d\r\n\r\n%s"
                .formatted(orderId, body.length(), body);
    }

    private static String text(HttpResponse<byte[]> answer) {
        return new String(answer.body(), StandardCharsets.UTF_8);
    }

    private static int closedPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
