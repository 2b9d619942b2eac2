package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.daisyscale.router.serving.AnswerMatch;
import org.daisyscale.router.serving.ServingRouterSettings.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PinnedConnectionTest {
    private final HttpLoop loop = HttpLoop.start("test-calls");
    private ServerSocket listener;

    @BeforeEach
    void listen() throws IOException {
        listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        listener.setSoTimeout(3_000);
    }

    @AfterEach
    void close() throws IOException {
        listener.close();
        loop.close();
    }

    private BlockingQueue<HttpCall.End> call(long pin, boolean isBound) {
        return call(pin, isBound, 2_000);
    }

    private BlockingQueue<HttpCall.End> call(long pin, boolean isBound, long maxUnsentMillis) {
        return call(pin, isBound, maxUnsentMillis, Optional.empty());
    }

    /** Makes a call that only the server {@code serverId} may get. */
    private BlockingQueue<HttpCall.End> callTo(String serverId, long pin) {
        Address address = new Address("127.0.0.1", listener.getLocalPort());
        ProcessCheck check = new HealthProcessCheck(new NamedAnswersDialect(), address, serverId, "/health");
        return call(pin, false, 2_000, Optional.of(check));
    }

    private BlockingQueue<HttpCall.End> call(
            long pin, boolean isBound, long maxUnsentMillis, Optional<ProcessCheck> check) {
        BlockingQueue<HttpCall.End> ends = new ArrayBlockingQueue<>(1);
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/" + pin);
        Address address = new Address("127.0.0.1", listener.getLocalPort());
        HttpCall httpCall = new HttpCall(address, request, 2_000, (sent, got) -> AnswerMatch.THIS_REQUEST, ends::add);
        httpCall.expireUnsentAt(System.nanoTime() + maxUnsentMillis * 1_000_000L);
        loop.startPinned(httpCall, pin, isBound, check);
        return ends;
    }

    private static HttpCall.End end(BlockingQueue<HttpCall.End> ends) throws InterruptedException {
        return ends.poll(5, TimeUnit.SECONDS);
    }

    private static String readTarget(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            head.append((char) socket.getInputStream().read());
        }
        return head.toString().split(" ")[1];
    }

    private static void answer(Socket socket) throws IOException {
        answer(socket, "");
    }

    private static void answer(Socket socket, String headerLines) throws IOException {
        String answer = "HTTP/1.1 200 OK\r\n" + headerLines + "Content-Length: 0\r\n\r\n";
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
    }

    /** Makes a call on a new connection, and answers it. */
    private Socket answeredOnNewConnection(long pin) throws Exception {
        BlockingQueue<HttpCall.End> ends = call(pin, false);
        Socket socket = listener.accept();
        readTarget(socket);
        answer(socket);
        assertThat(end(ends).isAnswered()).isTrue();
        return socket;
    }

    private void closeConnectionOf(long pin) throws Exception {
        answeredOnNewConnection(pin).close();
        Thread.sleep(200);
    }

    @Test
    void shouldMakeABoundCallOnTheConnectionOfItsPin() throws Exception {
        try (Socket socket = answeredOnNewConnection(7)) {
            BlockingQueue<HttpCall.End> renewal = call(7, true);
            readTarget(socket);
            answer(socket);

            assertThat(end(renewal).isAnswered()).isTrue();
        }
    }

    @Test
    void shouldNotMakeABoundCallOnceTheConnectionOfItsPinIsClosed() throws Exception {
        closeConnectionOf(7);

        assertThat(end(call(7, true)).failure()).isEqualTo(HttpCall.Failure.UNPROVED);
    }

    @Test
    void shouldNotMakeABoundCallOnAConnectionOpenedAfterTheOneOfItsPin() throws Exception {
        closeConnectionOf(7);
        try (Socket socket = answeredOnNewConnection(8)) {
            assertThat(end(call(7, true)).failure()).isEqualTo(HttpCall.Failure.UNPROVED);

            BlockingQueue<HttpCall.End> next = call(9, false);
            assertThat(readTarget(socket)).isEqualTo("/9");
            answer(socket);
            assertThat(end(next).isAnswered()).isTrue();
        }
    }

    @Test
    void shouldMakeCallsOneAfterTheOtherOnOneConnection() throws Exception {
        BlockingQueue<HttpCall.End> first = call(1, false);
        BlockingQueue<HttpCall.End> second = call(2, false);
        try (Socket socket = listener.accept()) {
            assertThat(readTarget(socket)).isEqualTo("/1");
            Thread.sleep(100);
            assertThat(socket.getInputStream().available()).isZero();
            answer(socket);
            assertThat(readTarget(socket)).isEqualTo("/2");
            answer(socket);

            assertThat(end(first).isAnswered()).isTrue();
            assertThat(end(second).isAnswered()).isTrue();
        }
    }

    /** Guards against grants that leave after the controller's lease has ended. */
    @Test
    void shouldNotSendACallThatHasWaitedTooLongBehindAnother() throws Exception {
        BlockingQueue<HttpCall.End> first = call(1, false);
        BlockingQueue<HttpCall.End> second = call(2, false, 100);
        try (Socket socket = listener.accept()) {
            readTarget(socket);
            Thread.sleep(200);
            answer(socket);

            assertThat(end(first).isAnswered()).isTrue();
            assertThat(end(second).failure()).isEqualTo(HttpCall.Failure.EXPIRED);
            assertThat(socket.getInputStream().available()).isZero();
        }
    }

    @Test
    void shouldContinueAfterACallWithoutResponse() throws Exception {
        BlockingQueue<HttpCall.End> first = call(1, false);
        try (Socket socket = listener.accept()) {
            readTarget(socket);
        }
        assertThat(end(first).failure()).isEqualTo(HttpCall.Failure.LOST);

        BlockingQueue<HttpCall.End> second = call(2, false);
        try (Socket socket = listener.accept()) {
            readTarget(socket);
            answer(socket);

            assertThat(end(second).isAnswered()).isTrue();
        }
    }

    /** Guards against copies of the health response, which could be taken for the response to the first call. */
    @Test
    void shouldMakeCallsToTheServerThatIdentifiedItselfOnAnotherConnection() throws Exception {
        BlockingQueue<HttpCall.End> first = callTo("s1", 1);
        try (Socket checked = listener.accept()) {
            assertThat(readTarget(checked)).isEqualTo("/health");
            answer(checked, "Server-Id: s1\r\n");
            try (Socket socket = listener.accept()) {
                assertThat(readTarget(socket)).isEqualTo("/1");
                answer(socket);
                BlockingQueue<HttpCall.End> second = callTo("s1", 2);
                assertThat(readTarget(socket)).isEqualTo("/2");
                answer(socket);

                assertThat(end(first).isAnswered()).isTrue();
                assertThat(end(second).isAnswered()).isTrue();
            }
            assertThatThrownBy(() -> checked.getInputStream().read()).hasMessageContaining("reset");
        }
    }

    /** Guards against grants that reach a server to which the address of the intended one has passed. */
    @Test
    void shouldSendNothingToAnotherServerThatHasTheAddressNow() throws Exception {
        BlockingQueue<HttpCall.End> call = callTo("s1", 1);
        try (Socket socket = listener.accept()) {
            readTarget(socket);
            answer(socket, "Server-Id: s2\r\n");

            assertThat(end(call).failure()).isEqualTo(HttpCall.Failure.OTHER_PROCESS);
            assertThatThrownBy(() -> socket.getInputStream().read()).hasMessageContaining("reset");
        }
    }

    @Test
    void shouldSendNothingToAProcessThatDoesNotAnswerItsHealthCheck() throws Exception {
        BlockingQueue<HttpCall.End> call = callTo("s1", 1);
        try (Socket socket = listener.accept()) {
            readTarget(socket);

            assertThat(end(call).failure()).isEqualTo(HttpCall.Failure.NOT_SENT);
        }
    }

    /** Guards against calls to leaving servers that are never sent: these close each connection after their answer. */
    @Test
    void shouldMakeTheCallOnAnotherConnectionWhenTheServerClosesTheOneOnWhichItIdentifiedItself() throws Exception {
        BlockingQueue<HttpCall.End> call = callTo("s1", 1);
        try (Socket socket = listener.accept()) {
            readTarget(socket);
            answer(socket, "Server-Id: s1\r\nConnection: close\r\n");
        }
        try (Socket socket = listener.accept()) {
            assertThat(readTarget(socket)).isEqualTo("/1");
            answer(socket);

            assertThat(end(call).isAnswered()).isTrue();
        }
    }

    @Test
    void shouldReleaseARangeAtAServerThatClosesEachConnectionAfterItsAnswer() throws Exception {
        BlockingQueue<HttpCall.End> ends = new ArrayBlockingQueue<>(1);
        Address address = new Address("127.0.0.1", listener.getLocalPort());
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/release");
        HttpCall release = new HttpCall(address, request, 2_000, (sent, got) -> AnswerMatch.THIS_REQUEST, ends::add);

        ProcessCheck check = new HealthProcessCheck(new NamedAnswersDialect(), address, "s1", "/health");
        loop.startAlone(release, Optional.of(check));
        try (Socket socket = listener.accept()) {
            readTarget(socket);
            answer(socket, "Server-Id: s1\r\nConnection: close\r\n");
        }
        try (Socket socket = listener.accept()) {
            assertThat(readTarget(socket)).isEqualTo("/release");
            answer(socket);

            assertThat(end(ends).isAnswered()).isTrue();
        }
    }
}
