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

class AttemptSenderTest {
    private static final String REFUSAL = "HTTP/1.1 421 Misdirected\r\nId: a\r\nContent-Length: 0\r\n\r\n";
    private static final String ANSWER = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n";

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
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private AttemptOutcome outcome() throws InterruptedException {
        return ended.poll(5, TimeUnit.SECONDS).outcome();
    }

    private static Exchange exchange(long requestNumber) {
        RequestHead head = new RequestHead("h", "/", 2_000, RequestHead.NO_KEY, 0, "a");
        return new Exchange(
                requestNumber, head, "GET", "/", new DefaultHttpHeaders().add("Id", "a"), new byte[0], end -> {});
    }

    private BackendServer server(String id) {
        return new BackendServer(id, 7, "pooled", "127.0.0.1", listener.getLocalPort(), "dc1", 3, false, 0);
    }

    /**
     * Has {@code first} refused, sends {@code second}, and copies the refusal on the connection of {@code first}; the
     * second attempt must not take the copy as its response.
     */
    private void assertCopiedRefusalIsNotTaken(
            Exchange first, BackendServer firstServer, Exchange second, BackendServer secondServer) throws Exception {
        sender.send(first, new ServingAction.SendAttempt(first.requestId(), 1, firstServer, 2_000));
        try (Socket refusing = listener.accept()) {
            readRequest(refusing);
            write(refusing, REFUSAL);
            assertThat(outcome()).isEqualTo(AttemptOutcome.REFUSED_NOT_OWNER);

            sender.send(second, new ServingAction.SendAttempt(second.requestId(), 2, secondServer, 2_000));
            Thread.sleep(100);
            write(refusing, REFUSAL);
            assertThat(ended.poll(200, TimeUnit.MILLISECONDS))
                    .as("end of an attempt that no server has answered")
                    .isNull();
            try (Socket answering = listener.accept()) {
                readRequest(answering);
                write(answering, ANSWER);

                assertThat(outcome()).isEqualTo(AttemptOutcome.ANSWERED);
            }
        }
    }

    @Test
    void shouldNotTakeADuplicateRefusalForTheResponseToARetryOfTheSameRequest() throws Exception {
        Exchange exchange = exchange(1);

        assertCopiedRefusalIsNotTaken(exchange, server("s1"), exchange, server("s1"));
    }

    @Test
    void shouldNotTakeACopiedRefusalForTheResponseOfAnotherServerAtTheSameAddress() throws Exception {
        Exchange exchange = exchange(1);

        assertCopiedRefusalIsNotTaken(exchange, server("s1"), exchange, server("s2"));
    }

    @Test
    void shouldNotTakeACopiedRefusalForTheResponseToAnotherRequestWithTheSameId() throws Exception {
        assertCopiedRefusalIsNotTaken(exchange(1), server("s1"), exchange(2), server("s1"));
    }
}
