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
import org.junit.jupiter.api.Test;

class AttemptSenderTest {
    private static final String REFUSAL = "HTTP/1.1 421 Misdirected\r\nId: a\r\nContent-Length: 0\r\n\r\n";
    private static final String ANSWER = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n";

    private final BlockingQueue<ServingEvent.AttemptEnded> ended = new ArrayBlockingQueue<>(4);

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

    @Test
    void shouldNotTakeADuplicateRefusalForTheResponseToARetryOfTheSameRequest() throws Exception {
        try (HttpLoop loop = HttpLoop.start("test-calls");
                ServerSocket listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            AttemptSender sender = new AttemptSender(loop, new NamedAnswersDialect(), ended::add);
            RequestHead head = new RequestHead("h", "/", 2_000, RequestHead.NO_KEY, 0, "a");
            Exchange exchange =
                    new Exchange(1, head, "GET", "/", new DefaultHttpHeaders().add("Id", "a"), new byte[0], end -> {});
            BackendServer server =
                    new BackendServer("s1", 7, "pooled", "127.0.0.1", listener.getLocalPort(), "dc1", 3, false, 0);

            sender.send(exchange, new ServingAction.SendAttempt(1, 1, server, 2_000));
            try (Socket first = listener.accept()) {
                readRequest(first);
                write(first, REFUSAL);
                assertThat(outcome()).isEqualTo(AttemptOutcome.REFUSED_NOT_OWNER);

                sender.send(exchange, new ServingAction.SendAttempt(1, 2, server, 2_000));
                write(first, REFUSAL);
                listener.setSoTimeout(2_000);
                try (Socket second = listener.accept()) {
                    readRequest(second);
                    write(second, ANSWER);

                    assertThat(outcome()).isEqualTo(AttemptOutcome.ANSWERED);
                }
            }
        }
    }
}
