package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.daisyscale.router.internal.serving.HttpCall.End;
import org.daisyscale.router.serving.AnswerMatch;
import org.daisyscale.router.serving.ServingRouterSettings.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Copies of responses that name no request, or whose body is not read as a body, while another call is in flight. */
class CopiesOnUsedConnectionsTest {
    private static final String UNNAMED_OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final long CHECK_TIMEOUT_MILLIS = 2_000;

    private final HttpLoop loop = HttpLoop.start("test-calls");
    private ServerSocket listener;

    @BeforeEach
    void listen() throws IOException {
        listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        listener.setSoTimeout(2_000);
    }

    @AfterEach
    void close() throws IOException {
        listener.close();
        loop.close();
    }

    /** Compares ids as the dialect of the platform does: two absent ids match. */
    private static AnswerMatch match(HttpHeaders requestHeaders, HttpHeaders answerHeaders) {
        String asked = requestHeaders.get("Id");
        String answered = answerHeaders.get("Id");
        if (Objects.equals(asked, answered)) {
            return AnswerMatch.THIS_REQUEST;
        }
        return answered == null ? AnswerMatch.UNNAMED : AnswerMatch.ANOTHER_REQUEST;
    }

    private Address address() {
        return new Address("127.0.0.1", listener.getLocalPort());
    }

    private HttpCall newCall(HttpMethod method, String id, Consumer<End> onEnd) {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/");
        if (!id.isEmpty()) {
            request.headers().set("Id", id);
        }
        return new HttpCall(address(), request, 2_000, CopiesOnUsedConnectionsTest::match, onEnd);
    }

    private BlockingQueue<End> callWithId(HttpMethod method, String id) {
        BlockingQueue<End> ends = new ArrayBlockingQueue<>(1);
        HttpCall call = newCall(method, id, ends::add);
        call.identifyBy(headers -> Optional.ofNullable(headers.get("Id")));
        loop.start(call);
        return ends;
    }

    private static String readRequest(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            head.append((char) socket.getInputStream().read());
        }
        return head.toString();
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static void assertNotAnswered(BlockingQueue<End> ends) throws InterruptedException {
        Optional<End> end = Optional.ofNullable(ends.poll(300, TimeUnit.MILLISECONDS));

        assertThat(end.filter(End::isAnswered))
                .as("response to a call that no server has answered")
                .isEmpty();
    }

    @Test
    void shouldNotTakeAnUnnamedExtraResponseForTheResponseToALaterCallWithoutARequestId() throws Exception {
        BlockingQueue<End> named = callWithId(HttpMethod.GET, "a");
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            write(socket, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n");
            assertThat(named.poll(5, TimeUnit.SECONDS).isAnswered()).isTrue();

            BlockingQueue<End> unnamed = callWithId(HttpMethod.GET, "");
            Thread.sleep(100);
            write(socket, UNNAMED_OK);

            assertNotAnswered(unnamed);
        }
    }

    @Test
    void shouldNotTakeTheBodyOfACopiedResponseForTheResponseToAHeadRequest() throws Exception {
        String body = "HTTP/1.1 421 Misdirected\r\nId: b\r\n\r\n";
        String answer = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: %d\r\n\r\n%s".formatted(body.length(), body);
        BlockingQueue<End> get = callWithId(HttpMethod.GET, "a");
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            write(socket, answer);
            assertThat(get.poll(5, TimeUnit.SECONDS).isAnswered()).isTrue();

            BlockingQueue<End> head = callWithId(HttpMethod.HEAD, "b");
            assertThat(readRequest(socket)).startsWith("HEAD");
            write(socket, answer + "HTTP/1.1 200 OK\r\n");
            socket.shutdownOutput();

            assertNotAnswered(head);
        }
    }

    @Test
    void shouldNotTakeACopyOfTheResponseToAProcessCheckForTheResponseToTheCallThatItPrecedes() throws Exception {
        BlockingQueue<End> release = new ArrayBlockingQueue<>(1);
        loop.startAlone(newCall(HttpMethod.POST, "", release::add), Optional.of(new UnnamedCheck()));
        try (Socket checked = listener.accept()) {
            assertThat(readRequest(checked)).startsWith("GET");
            write(checked, UNNAMED_OK + UNNAMED_OK);
            try (Socket called = listener.accept()) {
                assertThat(readRequest(called)).startsWith("POST");

                assertNotAnswered(release);
            }
        }
    }

    @Test
    void shouldNotTakeACopyOfTheResponseToAProcessCheckForTheResponseToAPinnedCall() throws Exception {
        BlockingQueue<End> grant = new ArrayBlockingQueue<>(1);
        loop.startPinned(newCall(HttpMethod.POST, "", grant::add), 1, false, Optional.of(new UnnamedCheck()));
        try (Socket checked = listener.accept()) {
            assertThat(readRequest(checked)).startsWith("GET");
            write(checked, UNNAMED_OK + UNNAMED_OK);
            try (Socket called = listener.accept()) {
                assertThat(readRequest(called)).startsWith("POST");

                assertNotAnswered(grant);
            }
        }
    }

    /** A check that each process passes which answers. */
    private final class UnnamedCheck implements ProcessCheck {
        @Override
        public String serverId() {
            return "s1";
        }

        @Override
        public HttpCall createCall(Consumer<Verdict> onVerdict) {
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/health");
            return new HttpCall(
                    address(),
                    request,
                    CHECK_TIMEOUT_MILLIS,
                    CopiesOnUsedConnectionsTest::match,
                    end -> onVerdict.accept(end.isAnswered() ? Verdict.EXPECTED : Verdict.UNANSWERED));
        }
    }
}
