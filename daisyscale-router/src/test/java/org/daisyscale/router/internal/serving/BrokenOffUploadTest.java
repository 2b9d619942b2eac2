package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
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
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against the report of another operator: a backend server answered a long upload at once with a 200 that had no
 * length, sent part of its body and reset the connection, and the caller got that part as a complete answer.
 */
class BrokenOffUploadTest {
    private static final String UNSIZED = "HTTP/1.1 200 OK\r\nId: a\r\n\r\n";
    private static final int LONG_BODY_BYTES = 900_000;
    private static final int SMALL_BUFFER_BYTES = 2_048;

    private final BlockingQueue<ServingEvent.AttemptEnded> ended = new ArrayBlockingQueue<>(4);
    private final HttpLoop loop = HttpLoop.start("test-calls");
    private final AttemptSender sender = new AttemptSender(loop, new NamedAnswersDialect(), ended::add);
    private ServerSocket listener;

    /** How the server ends the connection. */
    private enum End {
        RESET,
        CLOSE_WITH_UNREAD_BYTES,
        CLOSE_OF_ITS_HALF,
        CLOSE_AFTER_ALL_ARRIVED_BYTES_WERE_READ
    }

    @BeforeEach
    void createListener() throws IOException {
        listener = new ServerSocket();
        listener.setSoTimeout(2_000);
    }

    @AfterEach
    void close() throws IOException {
        listener.close();
        loop.close();
    }

    private void listen(boolean hasSmallBuffers) throws IOException {
        if (hasSmallBuffers) {
            listener.setReceiveBufferSize(SMALL_BUFFER_BYTES);
        }
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    private void upload(int bodyBytes) {
        RequestHead head = new RequestHead("h", "/", 2_000, RequestHead.NO_KEY, bodyBytes, "a");
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        headers.add("Id", "a").add("Content-Length", bodyBytes);
        Exchange exchange = new Exchange(1, head, "PUT", "/", headers, new byte[bodyBytes], end -> {});
        BackendServer server =
                new BackendServer("s1", 7, "pooled", "127.0.0.1", listener.getLocalPort(), "dc1", 3, false, 0);
        sender.send(exchange, new ServingAction.SendAttempt(1, 1, server, 3_000));
    }

    private static void readHead(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            head.append((char) socket.getInputStream().read());
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static void end(Socket socket, End end) throws IOException {
        if (end == End.RESET) {
            socket.setSoLinger(true, 0);
        } else if (end == End.CLOSE_OF_ITS_HALF) {
            socket.shutdownOutput();
        } else if (end == End.CLOSE_AFTER_ALL_ARRIVED_BYTES_WERE_READ) {
            while (socket.getInputStream().available() > 0) {
                socket.getInputStream().skipNBytes(socket.getInputStream().available());
            }
        }
    }

    private AttemptOutcome outcome() throws InterruptedException {
        return ended.poll(5, TimeUnit.SECONDS).outcome();
    }

    private AttemptOutcome outcomeOfUpload(boolean hasSmallBuffers, long pauseMillis, End end) throws Exception {
        listen(hasSmallBuffers);
        upload(LONG_BODY_BYTES);
        try (Socket socket = listener.accept()) {
            readHead(socket);
            write(socket, UNSIZED);
            Thread.sleep(pauseMillis);
            write(socket, "part of a body");
            Thread.sleep(pauseMillis);
            end(socket, end);
            if (end == End.CLOSE_OF_ITS_HALF) {
                return outcome();
            }
        }
        return outcome();
    }

    @ParameterizedTest
    @EnumSource(End.class)
    void shouldNotTakePartOfAnUnsizedResponseForAWholeOneWhileTheUploadIsWritten(End end) throws Exception {
        assertThat(outcomeOfUpload(false, 0, end)).isIn(AttemptOutcome.SPOILED, AttemptOutcome.LOST);
    }

    @ParameterizedTest
    @EnumSource(End.class)
    void shouldNotTakePartOfAnUnsizedResponseForAWholeOneThroughSmallBuffersAndSlowly(End end) throws Exception {
        assertThat(outcomeOfUpload(true, 80, end)).isIn(AttemptOutcome.SPOILED, AttemptOutcome.LOST);
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "an unsized response behind another one, HTTP/1.1 200 OK|Id: b|Content-Length: 2||ok",
        "an unsized response behind an interim one, HTTP/1.1 100 Continue||"
    })
    void shouldNotTakePartOfAnUnsizedResponseInTheSameSegmentForAWholeOne(String form, String before) throws Exception {
        listen(false);
        upload(LONG_BODY_BYTES);
        try (Socket socket = listener.accept()) {
            readHead(socket);
            write(socket, before.replace("|", "\r\n") + UNSIZED + "part of a body");
            socket.shutdownOutput();

            assertThat(outcome()).as(form).isIn(AttemptOutcome.SPOILED, AttemptOutcome.LOST);
        }
    }

    @Test
    void shouldTakeAnUnsizedResponseToAShortRequestForWholeWhenItsConnectionEnds() throws Exception {
        listen(false);
        upload(100);
        try (Socket socket = listener.accept()) {
            readHead(socket);
            socket.getInputStream().skipNBytes(100);
            write(socket, UNSIZED + "whole body");
        }

        assertThat(outcome()).isEqualTo(AttemptOutcome.ANSWERED);
    }

    @Test
    void shouldTakeASizedResponseForWholeAlthoughTheUploadIsNotRead() throws Exception {
        listen(false);
        upload(LONG_BODY_BYTES);
        try (Socket socket = listener.accept()) {
            readHead(socket);
            write(socket, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok");

            assertThat(outcome()).isEqualTo(AttemptOutcome.ANSWERED);
        }
    }
}
