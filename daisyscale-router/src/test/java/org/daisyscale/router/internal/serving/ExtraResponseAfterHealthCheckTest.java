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

class ExtraResponseAfterHealthCheckTest {
    private static final String REFUSAL = "HTTP/1.1 421 Misdirected\r\nId: a\r\nContent-Length: 0\r\n\r\n";

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

    private HttpCall newCall(BlockingQueue<HttpCall.End> ends, String id) {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        if (!id.isEmpty()) {
            request.headers().set("Id", id);
        }
        Address address = new Address("127.0.0.1", listener.getLocalPort());
        return new HttpCall(address, request, 2_000, dialect::match, ends::add);
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

    @Test
    void shouldNameTheCopiedRequestWhileAHealthCheckIsInFlight() throws Exception {
        BlockingQueue<HttpCall.End> ends = new ArrayBlockingQueue<>(2);
        HttpCall refused = newCall(ends, "a");
        refused.identifyBy(dialect::requestId);
        loop.start(refused);
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            write(socket, REFUSAL);
            assertThat(ends.poll(5, TimeUnit.SECONDS).isAnswered()).isTrue();

            loop.start(newCall(ends, ""));
            readRequest(socket);
            write(socket, REFUSAL);

            ExtraResponse extra = extras.poll(5, TimeUnit.SECONDS);
            assertThat(extra.kind()).isEqualTo(Kind.COPY);
            assertThat(extra.requestId()).isEqualTo("a");
        }
    }
}
