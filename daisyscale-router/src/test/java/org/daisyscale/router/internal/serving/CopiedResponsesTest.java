package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.daisyscale.router.internal.serving.HttpCall.End;
import org.daisyscale.router.internal.serving.HttpCall.Failure;
import org.daisyscale.router.serving.AnswerMatch;
import org.daisyscale.router.serving.ServingRouterSettings.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a response, or a part of one, that is taken for the response to another call. */
class CopiedResponsesTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok";
    private static final String CREATED = "HTTP/1.1 201 Created\r\nId: %s\r\nContent-Length: 0\r\n\r\n";
    private static final String UNNAMED = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final int NO_BODY = 0;

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

    private HttpCall newCall(HttpMethod method, String id, int bodyBytes, BlockingQueue<End> ends) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, method, "/", Unpooled.wrappedBuffer(new byte[bodyBytes]));
        if (!id.isEmpty()) {
            request.headers().set("Id", id);
        }
        if (bodyBytes > 0) {
            request.headers().set("Content-Length", bodyBytes);
        }
        Address address = new Address("127.0.0.1", listener.getLocalPort());
        return new HttpCall(address, request, 3_000, CopiedResponsesTest::match, ends::add);
    }

    /** Compares ids as a dialect does in which some calls and their responses bear none. */
    private static AnswerMatch match(HttpHeaders sent, HttpHeaders got) {
        if (requestId(sent).equals(requestId(got))) {
            return AnswerMatch.THIS_REQUEST;
        }
        return requestId(got).isEmpty() ? AnswerMatch.UNNAMED : AnswerMatch.ANOTHER_REQUEST;
    }

    private static Optional<String> requestId(HttpHeaders headers) {
        return Optional.ofNullable(headers.get("Id"));
    }

    private BlockingQueue<End> call(HttpMethod method, String id, int bodyBytes) {
        BlockingQueue<End> ends = new ArrayBlockingQueue<>(1);
        HttpCall call = newCall(method, id, bodyBytes, ends);
        call.identifyBy(CopiedResponsesTest::requestId);
        loop.start(call);
        return ends;
    }

    private BlockingQueue<End> call(String id) {
        return call(HttpMethod.GET, id, NO_BODY);
    }

    private BlockingQueue<End> callPinned() {
        BlockingQueue<End> ends = new ArrayBlockingQueue<>(1);
        loop.startPinned(newCall(HttpMethod.POST, "", NO_BODY, ends), 1, false, Optional.empty());
        return ends;
    }

    private static End end(BlockingQueue<End> ends) throws InterruptedException {
        return ends.poll(5, TimeUnit.SECONDS);
    }

    private static void readRequest(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new SocketException("the connection is closed");
            }
            head.append((char) next);
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Makes the call {@code id} on a new connection and has it answered by {@code response}. */
    private Socket answeredOnNewConnection(HttpMethod method, String id, String response) throws Exception {
        BlockingQueue<End> ends = call(method, id, NO_BODY);
        Socket socket = listener.accept();
        readRequest(socket);
        write(socket, response);
        assertThat(end(ends).isAnswered()).isTrue();
        return socket;
    }

    private Socket answeredOnNewConnection(String id) throws Exception {
        return answeredOnNewConnection(HttpMethod.GET, id, OK.formatted(id));
    }

    /** Has the call of {@code ends} answered on a connection that is opened for it. */
    private void assertAnsweredOnAnotherConnection(String id, BlockingQueue<End> ends) throws Exception {
        try (Socket other = listener.accept()) {
            readRequest(other);
            write(other, CREATED.formatted(id));

            assertThat(end(ends).reply().status()).isEqualTo(201);
        }
    }

    @Test
    void shouldSkipTheCopyOfASuccessWhileAnotherCallIsInFlight() throws Exception {
        try (Socket socket = answeredOnNewConnection("a")) {
            BlockingQueue<End> ends = call("b");
            readRequest(socket);
            write(socket, OK.formatted("a") + CREATED.formatted("b"));

            assertThat(end(ends).reply().status()).isEqualTo(201);
        }
    }

    @Test
    void shouldSkipACopyThatArrivesWhileTheNextRequestIsBeingWritten() throws Exception {
        int bodyBytes = 8 << 20;
        try (Socket socket = answeredOnNewConnection("a")) {
            BlockingQueue<End> ends = call(HttpMethod.POST, "b", bodyBytes);
            readRequest(socket);
            write(socket, OK.formatted("a"));
            assertThat(ends.poll(200, TimeUnit.MILLISECONDS)).isNull();
            socket.getInputStream().readNBytes(bodyBytes);
            write(socket, CREATED.formatted("b"));

            assertThat(end(ends).reply().status()).isEqualTo(201);
        }
    }

    @Test
    void shouldUseANewConnectionAfterACopyInTheSamePacket() throws Exception {
        try (Socket socket =
                answeredOnNewConnection(HttpMethod.GET, "a", OK.formatted("a").repeat(2))) {
            assertAnsweredOnAnotherConnection("b", call("b"));
        }
    }

    @Test
    void shouldUseANewConnectionAfterTheBeginningOfACopyInTheSamePacket() throws Exception {
        try (Socket socket =
                answeredOnNewConnection(HttpMethod.GET, "a", OK.formatted("a") + "HTTP/1.1 200 OK\r\nId: a")) {
            assertAnsweredOnAnotherConnection("b", call("b"));
        }
    }

    @Test
    void shouldUseANewConnectionAfterBytesBehindAResponseThatAreNoResponse() throws Exception {
        try (Socket socket = answeredOnNewConnection(HttpMethod.GET, "a", OK.formatted("a") + "more bytes")) {
            assertAnsweredOnAnotherConnection("b", call("b"));
        }
    }

    @Test
    void shouldUseANewConnectionAfterBytesBehindTheResponseToAHeadCall() throws Exception {
        try (Socket socket = answeredOnNewConnection(HttpMethod.HEAD, "a", OK.formatted("a"))) {
            assertAnsweredOnAnotherConnection("b", call("b"));
        }
    }

    @Test
    void shouldNotTakeACopyInTheSamePacketForTheResponseToTheNextPinnedCall() throws Exception {
        BlockingQueue<End> first = callPinned();
        BlockingQueue<End> second = callPinned();
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            write(socket, UNNAMED.repeat(2));
            assertThat(end(first).isAnswered()).isTrue();
            try (Socket other = listener.accept()) {
                readRequest(other);
                write(other, "HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n");

                assertThat(end(second).reply().status()).isEqualTo(201);
            }
        }
    }

    @Test
    void shouldUseANewConnectionForACallWithoutARequestIdAfterAnyOtherCall() throws Exception {
        try (Socket socket = answeredOnNewConnection("a")) {
            BlockingQueue<End> ends = call("");
            Thread.sleep(100);
            write(socket, UNNAMED);

            try (Socket other = listener.accept()) {
                readRequest(other);
                write(other, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
                assertThat(end(ends).reply().status()).isEqualTo(400);
            }
        }
    }

    @Test
    void shouldNotTakeAnUnnamedExtraResponseAfterACallWithoutARequestId() throws Exception {
        try (Socket socket = answeredOnNewConnection(HttpMethod.GET, "", UNNAMED)) {
            BlockingQueue<End> ends = call("b");
            readRequest(socket);
            write(socket, UNNAMED);

            assertThat(end(ends).failure()).isEqualTo(Failure.SPOILED);
        }
    }

    @Test
    void shouldTakeAnUnnamedResponseThatFollowsAnInformationalOneOnANewConnection() throws Exception {
        BlockingQueue<End> ends = call("a");
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            write(socket, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");

            assertThat(end(ends).reply().status()).isEqualTo(503);
        }
    }

    @Test
    void shouldNotTakeAnInformationalResponseForTheResponse() throws Exception {
        BlockingQueue<End> ends = call("a");
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            write(socket, "HTTP/1.1 103 Early Hints\r\nId: a\r\n\r\n" + CREATED.formatted("a"));

            assertThat(end(ends).reply().status()).isEqualTo(201);
        }
    }

    @Test
    void shouldNotTakeTheBodyOfACopyForTheResponseToAHeadCall() throws Exception {
        String body = "HTTP/1.1 200 OK\r\nId: h\r\n\r\n";
        String answer = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        try (Socket socket = answeredOnNewConnection(HttpMethod.GET, "a", answer)) {
            BlockingQueue<End> ends = call(HttpMethod.HEAD, "h", NO_BODY);
            readRequest(socket);
            write(socket, answer + "HTTP/1.1 201 Created\r\nId: h\r\nContent-Length: 9\r\n\r\n");

            assertThat(end(ends).reply().status()).isEqualTo(201);
        }
    }

    @Test
    void shouldEndACallAtOnceWhenTheLengthOfACopiedResponseToAHeadCallIsUnknown() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nId: h\r\nContent-Length: 90\r\n\r\n";
        try (Socket socket = answeredOnNewConnection(HttpMethod.HEAD, "h", head)) {
            BlockingQueue<End> ends = call("b");
            readRequest(socket);
            write(socket, head + CREATED.formatted("b"));

            assertThat(end(ends).failure()).isEqualTo(Failure.SPOILED);
        }
    }

    @Test
    void shouldUseANewConnectionAfterAConnectCall() throws Exception {
        try (Socket socket = answeredOnNewConnection(HttpMethod.CONNECT, "a", "HTTP/1.1 200 OK\r\nId: a\r\n\r\n")) {
            assertAnsweredOnAnotherConnection("b", call("b"));
        }
    }

    @Test
    void shouldNotTakeTheResponseToACancelledCall() throws Exception {
        HttpCall cancelled = newCall(HttpMethod.GET, "a", NO_BODY, new ArrayBlockingQueue<>(1));
        cancelled.identifyBy(CopiedResponsesTest::requestId);
        loop.start(cancelled);
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            loop.cancel(cancelled);

            assertAnsweredOnAnotherConnection("a", call("a"));
        }
    }

    @Test
    void shouldEndACallAfterMoreExtraResponsesThanItsConnectionCanHaveCarriedCalls() throws Exception {
        try (Socket socket = answeredOnNewConnection("a")) {
            BlockingQueue<End> ends = call("b");
            readRequest(socket);
            write(socket, OK.formatted("a").repeat(300));

            assertThat(end(ends).failure()).isEqualTo(Failure.SPOILED);
        }
    }
}
