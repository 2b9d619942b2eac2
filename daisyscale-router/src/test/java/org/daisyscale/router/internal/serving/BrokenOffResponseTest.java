package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.daisyscale.core.serving.AttemptOutcome;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.RequestHead;
import org.daisyscale.core.serving.ServingAction;
import org.daisyscale.core.serving.ServingEvent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a response that broke off and that passes for a complete success. */
class BrokenOffResponseTest {
    private static final String HEAD = "HTTP/1.1 200 OK|Id: a|";
    private static final long READ_MILLIS = 60;

    private final BlockingQueue<ServingEvent.AttemptEnded> ended = new ArrayBlockingQueue<>(4);
    private final HttpLoop loop = HttpLoop.start("test-calls");
    private final AttemptSender sender = new AttemptSender(loop, new NamedAnswersDialect(), ended::add);
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

    private static void readRequest(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            head.append((char) socket.getInputStream().read());
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.replace("|", "\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    private void send(long requestNumber, String id) {
        RequestHead head = new RequestHead("h", "/", 2_000, RequestHead.NO_KEY, 0, id);
        Exchange exchange = new Exchange(
                requestNumber, head, "GET", "/", new DefaultHttpHeaders().add("Id", id), new byte[0], end -> {});
        BackendServer server =
                new BackendServer("s1", 7, "pooled", "127.0.0.1", listener.getLocalPort(), "dc1", 3, false, 0);
        sender.send(exchange, new ServingAction.SendAttempt(requestNumber, 1, server, 2_000));
    }

    private AttemptOutcome outcome() throws InterruptedException {
        return ended.poll(5, TimeUnit.SECONDS).outcome();
    }

    /** Sends {@code first}, waits until it has been read, sends {@code second}, and resets the connection. */
    private AttemptOutcome outcomeAfterReset(String first, String second) throws Exception {
        send(1, "a");
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            write(socket, first);
            Thread.sleep(READ_MILLIS);
            write(socket, second);
            Thread.sleep(READ_MILLIS);
            socket.setSoLinger(true, 0);
        }
        return outcome();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "|",
                "|half of a body",
                "Content-Length: 9||",
                "Content-Length: 9||12345678",
                "Transfer-Encoding: chunked||",
                "Transfer-Encoding: chunked||5|12345|",
                "Transfer-Encoding: chunked||5|12345|0|",
                "Transfer-Encoding: chunked||5|12345|0|Trailer: a|",
                "Connection: close||half of a body",
            })
    void shouldSpoilAResponseWhoseConnectionIsResetInEitherHalf(String begin) throws Exception {
        assertThat(outcomeAfterReset(HEAD + begin, "")).isIn(AttemptOutcome.SPOILED, AttemptOutcome.LOST);
        assertThat(outcomeAfterReset(HEAD, begin)).isIn(AttemptOutcome.SPOILED, AttemptOutcome.LOST);
    }

    /** Guards against the report of another operator: an answer whose status was 000 reached a caller. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "600", "999", "20", "0200", "+20", "2x0", "-10"})
    void shouldSpoilAResponseWhoseStatusIsNotThreeDigitsFrom100To599(String status) throws Exception {
        send(1, "a");
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            write(socket, "HTTP/1.1 " + status + " OK|Id: a|Content-Length: 2||ok");

            assertThat(outcome()).isEqualTo(AttemptOutcome.SPOILED);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"200", "299", "404", "599"})
    void shouldPassOnAnyStatusFrom200To599(String status) throws Exception {
        send(1, "a");
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            write(socket, "HTTP/1.1 " + status + " OK|Id: a|Content-Length: 2||ok");

            assertThat(outcome()).isEqualTo(AttemptOutcome.ANSWERED);
        }
    }

    /** Guards against a call that waits for its response behind one that never ends. */
    @Test
    void shouldEndACallAtOnceBehindAnExtraResponseWithoutALength() throws Exception {
        send(1, "a");
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            write(socket, "HTTP/1.1 200 OK|Id: b||part of a body");

            assertThat(ended.poll(1, TimeUnit.SECONDS))
                    .isNotNull()
                    .matches(end -> end.outcome() == AttemptOutcome.SPOILED);
        }
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "two different lengths, Content-Length: 2|Content-Length: 9||ok",
        "a negative length, Content-Length: -1||ok",
        "a length that is no number, Content-Length: two||ok",
        "a chunk size that is no number, Transfer-Encoding: chunked||xyz|ok|0||",
    })
    void shouldSpoilAResponseWithoutAValidLength(String form, String framing) throws Exception {
        send(1, "a");
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            write(socket, HEAD + framing);

            assertThat(outcome()).as(form).isEqualTo(AttemptOutcome.SPOILED);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 90||half of a body", "Transfer-Encoding: chunked||5|12345|"})
    void shouldNotCompleteACopyThatBrokeOffWithTheResponseBehindIt(String framing) throws Exception {
        send(1, "a");
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            write(socket, HEAD + "Content-Length: 0||");
            assertThat(outcome()).isEqualTo(AttemptOutcome.ANSWERED);
            send(2, "b");
            readRequest(socket);
            write(socket, HEAD + framing + "HTTP/1.1 200 OK|Id: b|Content-Length: 2||ok");
        }

        assertThat(outcome()).isIn(AttemptOutcome.SPOILED, AttemptOutcome.LOST);
    }
}
