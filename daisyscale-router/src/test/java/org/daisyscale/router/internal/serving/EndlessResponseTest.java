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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against servers whose bytes never end, and of which the router would read until the call times out. */
class EndlessResponseTest {
    /** Longer than any call of the tests may take. */
    private static final long TIMEOUT_MILLIS = 20_000;

    private static final long AT_ONCE_SECONDS = 5;

    private final HttpLoop loop = HttpLoop.start("test-calls");
    private ServerSocket listener;

    @BeforeEach
    void listen() throws IOException {
        listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        listener.close();
        loop.close();
    }

    private BlockingQueue<End> call() {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        request.headers().set("Id", "a");
        Address address = new Address("127.0.0.1", listener.getLocalPort());
        BlockingQueue<End> ends = new ArrayBlockingQueue<>(1);
        loop.start(new HttpCall(address, request, TIMEOUT_MILLIS, EndlessResponseTest::match, ends::add));
        return ends;
    }

    private static AnswerMatch match(HttpHeaders sent, HttpHeaders got) {
        if (got.get("Id") == null) {
            return AnswerMatch.UNNAMED;
        }
        return got.get("Id").equals(sent.get("Id")) ? AnswerMatch.THIS_REQUEST : AnswerMatch.ANOTHER_REQUEST;
    }

    private static void readRequest(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            head.append((char) socket.getInputStream().read());
        }
    }

    /** Writes {@code begin} and then {@code text} again and again until the other side closes the connection. */
    private static Thread startWriting(Socket socket, String begin, String text) {
        Thread writer = new Thread(() -> {
            try {
                socket.getOutputStream().write(begin.getBytes(StandardCharsets.US_ASCII));
                byte[] bytes = text.repeat(100).getBytes(StandardCharsets.US_ASCII);
                while (!Thread.currentThread().isInterrupted()) {
                    socket.getOutputStream().write(bytes);
                }
            } catch (IOException e) {
                // The connection was closed, as expected.
            }
        });
        writer.start();
        return writer;
    }

    private static void assertClosed(Thread writer) throws InterruptedException {
        writer.join(TimeUnit.SECONDS.toMillis(AT_ONCE_SECONDS));
        assertThat(writer.isAlive())
                .as("the server still writes after %d s", AT_ONCE_SECONDS)
                .isFalse();
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "header lines, HTTP/1.1 200 OK|Id: a|, A: b|",
        "trailer lines, HTTP/1.1 200 OK|Id: a|Transfer-Encoding: chunked||0|, A: b|",
        "informational responses, '', HTTP/1.1 100 Continue||",
        "responses to other calls, '', HTTP/1.1 200 OK|Id: b|Content-Length: 0||",
        "the body of a response to another call, HTTP/1.1 200 OK|Id: b||, 0123456789abcdef",
        "another protocol, HTTP/1.1 101 Switching Protocols|Connection: upgrade|Upgrade: x||, 0123456789abcdef",
        "empty lines before a response, '', |",
        "chunk extensions, HTTP/1.1 200 OK|Id: a|Transfer-Encoding: chunked||, 1;name=LONG|x|",
        "chunk extensions of another response, HTTP/1.1 200 OK|Id: b|Transfer-Encoding: chunked||, 1;a=LONG|x|",
    })
    void shouldEndACallAtOnceWhenItsServerSendsEndless(String form, String begin, String text) throws Exception {
        BlockingQueue<End> ends = call();
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            Thread writer = startWriting(
                    socket,
                    begin.replace("|", "\r\n"),
                    text.replace("LONG", "0".repeat(4_000)).replace("|", "\r\n"));

            End end = ends.poll(AT_ONCE_SECONDS, TimeUnit.SECONDS);

            assertThat(end).as(form).isNotNull();
            assertThat(end.failure()).as(form).isEqualTo(Failure.SPOILED);
            assertClosed(writer);
        }
    }

    @Test
    void shouldCloseAConnectionOnWhichEndlessBytesFollowAResponse() throws Exception {
        BlockingQueue<End> ends = call();
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            Thread writer =
                    startWriting(socket, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok", "0123456789abcdef");

            End end = ends.poll(AT_ONCE_SECONDS, TimeUnit.SECONDS);

            assertThat(end).isNotNull();
            assertThat(end.isAnswered()).isTrue();
            assertThat(new String(end.reply().body(), StandardCharsets.US_ASCII))
                    .isEqualTo("ok");
            assertClosed(writer);
        }
    }
}
