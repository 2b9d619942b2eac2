package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.daisyscale.router.internal.serving.ExtraResponse.Kind;
import org.daisyscale.router.serving.ServingRouterSettings.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ExtraResponsesTest {
    private static final String REFUSAL = "HTTP/1.1 421 Misdirected\r\nId: %s\r\nContent-Length: 0\r\n\r\n";
    private static final String UNNAMED = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

    private final BlockingQueue<ExtraResponse> extras = new ArrayBlockingQueue<>(4);
    private final HttpLoop loop = HttpLoop.start("test-calls", extras::add);
    private final NamedAnswersDialect dialect = new NamedAnswersDialect();
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

    private HttpCall newCall(String id, BlockingQueue<HttpCall.End> ends) {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        request.headers().set("Id", id);
        Address address = new Address("127.0.0.1", listener.getLocalPort());
        return new HttpCall(address, request, 2_000, dialect::match, ends::add);
    }

    private BlockingQueue<HttpCall.End> call(String id) {
        BlockingQueue<HttpCall.End> ends = new ArrayBlockingQueue<>(1);
        HttpCall call = newCall(id, ends);
        call.identifyBy(dialect::requestId);
        call.addressTo("s1");
        loop.start(call);
        return ends;
    }

    private BlockingQueue<HttpCall.End> callThatExpectsNoCopies(String id) {
        BlockingQueue<HttpCall.End> ends = new ArrayBlockingQueue<>(1);
        loop.start(newCall(id, ends));
        return ends;
    }

    private static void readRequest(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            head.append((char) socket.getInputStream().read());
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Has the call {@code id} refused on a new connection. */
    private Socket refusedOnNewConnection(String id) throws Exception {
        BlockingQueue<HttpCall.End> ends = call(id);
        Socket socket = listener.accept();
        readRequest(socket);
        write(socket, REFUSAL.formatted(id));
        assertThat(ends.poll(5, TimeUnit.SECONDS).isAnswered()).isTrue();
        return socket;
    }

    private ExtraResponse extra() throws InterruptedException {
        return extras.poll(5, TimeUnit.SECONDS);
    }

    @Test
    void shouldReportACopyOnAnIdleConnection() throws Exception {
        try (Socket socket = refusedOnNewConnection("a")) {
            Thread.sleep(60);
            write(socket, REFUSAL.formatted("a"));

            ExtraResponse extra = extra();
            assertThat(extra.kind()).isEqualTo(Kind.COPY);
            assertThat(extra.requestId()).isEqualTo("a");
            assertThat(extra.status()).isEqualTo(421);
            assertThat(extra.serverId()).isEqualTo("s1");
            assertThat(extra.server().port()).isEqualTo(listener.getLocalPort());
            assertThat(extra.millisSinceFirst()).isBetween(50L, 5_000L);
            assertThat(extra.inFlight()).isEqualTo(ExtraResponse.NOTHING_IN_FLIGHT);
        }
    }

    @Test
    void shouldReportACopyThatArrivesWithTheFirstResponse() throws Exception {
        BlockingQueue<HttpCall.End> ends = call("a");
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            write(socket, REFUSAL.formatted("a").repeat(2));

            assertThat(ends.poll(5, TimeUnit.SECONDS).isAnswered()).isTrue();
            assertThat(extra().kind()).isEqualTo(Kind.COPY);
        }
    }

    @Test
    void shouldReportACopyWithTheRequestThatIsInFlight() throws Exception {
        try (Socket socket = refusedOnNewConnection("a")) {
            BlockingQueue<HttpCall.End> ends = call("b");
            readRequest(socket);
            write(socket, REFUSAL.formatted("a"));

            ExtraResponse extra = extra();
            assertThat(extra.kind()).isEqualTo(Kind.COPY);
            assertThat(extra.inFlight()).isEqualTo("b");
            assertThat(ends).isEmpty();
        }
    }

    @Test
    void shouldReportAResponseToARequestThatTheConnectionDidNotCarry() throws Exception {
        try (Socket socket = refusedOnNewConnection("a")) {
            write(socket, REFUSAL.formatted("x"));

            ExtraResponse extra = extra();
            assertThat(extra.kind()).isEqualTo(Kind.FOREIGN);
            assertThat(extra.millisSinceFirst()).isEqualTo(ExtraResponse.NO_FIRST);
        }
    }

    @Test
    void shouldReportAResponseThatNamesNoRequest() throws Exception {
        try (Socket socket = refusedOnNewConnection("a")) {
            write(socket, UNNAMED);

            assertThat(extra().kind()).isEqualTo(Kind.UNNAMED);
        }
    }

    @Test
    void shouldReportBytesThatAreNoResponse() throws Exception {
        try (Socket socket = refusedOnNewConnection("a")) {
            write(socket, "\0\1\2 no response");

            assertThat(extra().kind()).isEqualTo(Kind.NOT_A_RESPONSE);
        }
    }

    @Test
    void shouldReportBytesBehindAResponseThatAreNoResponse() throws Exception {
        assertReportedBehindAResponse(Kind.NOT_A_RESPONSE, "\0\1\2 no response\r\n\r\n");
    }

    @Test
    void shouldReportBytesBehindAResponseThatEndWithinALine() throws Exception {
        assertReportedBehindAResponse(Kind.NOT_A_RESPONSE, "HTTP/1.1 2");
    }

    @Test
    void shouldReportACopyBehindTheLastResponseOfAConnection() throws Exception {
        BlockingQueue<HttpCall.End> ends = call("a");
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            String last = "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
            write(socket, last.repeat(2));

            assertThat(ends.poll(5, TimeUnit.SECONDS).isAnswered()).isTrue();
            assertThat(extra().kind()).isEqualTo(Kind.COPY);
        }
    }

    private void assertReportedBehindAResponse(Kind kind, String bytes) throws Exception {
        BlockingQueue<HttpCall.End> ends = call("a");
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            write(socket, REFUSAL.formatted("a") + bytes);

            assertThat(ends.poll(5, TimeUnit.SECONDS).isAnswered()).isTrue();
            ExtraResponse extra = extra();
            assertThat(extra).as("what followed the response").isNotNull();
            assertThat(extra.kind()).isEqualTo(kind);
            assertThat(extras).isEmpty();
        }
    }

    @Test
    void shouldReportACopyWithItsRequestIdAfterACallThatExpectsNoCopies() throws Exception {
        try (Socket socket = refusedOnNewConnection("a")) {
            BlockingQueue<HttpCall.End> ends = callThatExpectsNoCopies("health");
            readRequest(socket);
            write(socket, REFUSAL.formatted("health"));
            assertThat(ends.poll(5, TimeUnit.SECONDS).isAnswered()).isTrue();
            write(socket, REFUSAL.formatted("a"));

            ExtraResponse extra = extra();
            assertThat(extra.kind()).isEqualTo(Kind.COPY);
            assertThat(extra.requestId()).isEqualTo("a");
        }
    }
}
