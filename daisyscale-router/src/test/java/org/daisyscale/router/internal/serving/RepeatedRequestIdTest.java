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
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.daisyscale.core.serving.CarriedCalls;
import org.daisyscale.router.internal.serving.HttpCall.End;
import org.daisyscale.router.serving.ServingRouterSettings.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RepeatedRequestIdTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok";

    private static final String UNNAMED_REFUSAL = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";

    private final HttpLoop loop = HttpLoop.start("test-calls");
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

    private BlockingQueue<End> call(String id) {
        BlockingQueue<End> ends = new ArrayBlockingQueue<>(1);
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        if (!id.isEmpty()) {
            request.headers().set("Id", id);
        }
        Address address = new Address("127.0.0.1", listener.getLocalPort());
        HttpCall call = new HttpCall(address, request, 2_000, dialect::match, ends::add);
        call.identifyBy(dialect::requestId);
        loop.start(call);
        return ends;
    }

    /** Makes the call {@code id}, which must arrive on {@code socket}, and answers it. */
    private void answerOn(Socket socket, String id) throws Exception {
        BlockingQueue<End> ends = call(id);
        readRequest(socket);
        write(socket, OK.formatted(id));
        assertThat(end(ends).isAnswered()).isTrue();
    }

    @Test
    void shouldUseANewConnectionForARequestIdThatTheConnectionHasCarried() throws Exception {
        BlockingQueue<End> first = call("a");
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            write(socket, OK.formatted("a"));
            assertThat(end(first).isAnswered()).isTrue();

            BlockingQueue<End> second = call("a");
            try (Socket other = listener.accept()) {
                write(socket, OK.formatted("a"));
                readRequest(other);
                write(other, "HTTP/1.1 201 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n");

                assertThat(end(second).reply().status()).isEqualTo(201);
            }
        }
    }

    @Test
    void shouldKeepTheConnectionForOtherRequestIdsWhileOneOfThemNeedsAnother() throws Exception {
        BlockingQueue<End> first = call("a");
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            write(socket, OK.formatted("a"));
            assertThat(end(first).isAnswered()).isTrue();
            BlockingQueue<End> repeated = call("a");
            try (Socket other = listener.accept()) {
                readRequest(other);

                answerOn(socket, "b");

                write(other, OK.formatted("a"));
                assertThat(end(repeated).isAnswered()).isTrue();
            }
        }
    }

    @Test
    void shouldCloseAConnectionThatHasCarriedAsManyCallsAsItRemembers() throws Exception {
        BlockingQueue<End> first = call("0");
        try (Socket socket = listener.accept()) {
            socket.setSoTimeout(2_000);
            readRequest(socket);
            write(socket, OK.formatted("0"));
            assertThat(end(first).isAnswered()).isTrue();

            for (int index = 1; index < CarriedCalls.MAX_CALLS; index++) {
                answerOn(socket, String.valueOf(index));
            }

            assertThatThrownBy(() -> readRequest(socket)).isInstanceOf(SocketException.class);
        }
    }

    @Test
    void shouldUseANewConnectionForASecondCallWithoutARequestId() throws Exception {
        BlockingQueue<End> first = call("");
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            write(socket, UNNAMED_REFUSAL);
            assertThat(end(first).isAnswered()).isTrue();

            BlockingQueue<End> second = call("");
            try (Socket other = listener.accept()) {
                write(socket, UNNAMED_REFUSAL);
                readRequest(other);
                write(other, "HTTP/1.1 201 OK\r\nContent-Length: 0\r\n\r\n");

                assertThat(end(second).reply().status()).isEqualTo(201);
            }
        }
    }
}
