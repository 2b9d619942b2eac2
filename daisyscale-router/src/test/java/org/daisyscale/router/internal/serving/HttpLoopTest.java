package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

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
import java.util.ArrayList;
import java.util.List;
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
import org.junit.jupiter.params.provider.ValueSource;

class HttpLoopTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok";

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

    private BlockingQueue<End> call(String id, long timeoutMillis) {
        BlockingQueue<End> ends = new ArrayBlockingQueue<>(1);
        loop.start(newCall(id, timeoutMillis, ends));
        return ends;
    }

    private BlockingQueue<End> call(String id, CallTimeouts timeouts) {
        BlockingQueue<End> ends = new ArrayBlockingQueue<>(1);
        loop.start(newCall(id, timeouts, ends));
        return ends;
    }

    private HttpCall newCall(String id, long timeoutMillis, BlockingQueue<End> ends) {
        return newCall(id, CallTimeouts.ofTotal(timeoutMillis), ends);
    }

    private HttpCall newCall(String id, CallTimeouts timeouts, BlockingQueue<End> ends) {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        request.headers().set("Id", id);
        Address address = new Address("127.0.0.1", listener.getLocalPort());
        return new HttpCall(address, request, timeouts, HttpLoopTest::match, ends::add);
    }

    private static AnswerMatch match(HttpHeaders sent, HttpHeaders got) {
        if (got.get("Id") == null) {
            return AnswerMatch.UNNAMED;
        }
        return got.get("Id").equals(sent.get("Id")) ? AnswerMatch.THIS_REQUEST : AnswerMatch.ANOTHER_REQUEST;
    }

    /** Writes {@code text} repeatedly until the other side closes the connection, for at most 10 s. */
    private static void writeWithoutEnd(Socket socket, String text) {
        byte[] bytes = text.repeat(1_000).getBytes(StandardCharsets.US_ASCII);
        long endNanos = System.nanoTime() + 10_000_000_000L;
        assertThatThrownBy(() -> {
                    while (System.nanoTime() < endNanos) {
                        socket.getOutputStream().write(bytes);
                    }
                })
                .isInstanceOf(IOException.class);
    }

    private static End end(BlockingQueue<End> ends) throws InterruptedException {
        return ends.poll(5, TimeUnit.SECONDS);
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
    void shouldSkipAResponseToAnotherCall() throws Exception {
        BlockingQueue<End> ends = call("new", 2_000);
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            write(socket, OK.formatted("old") + OK.formatted("new"));

            End end = end(ends);

            assertThat(end.isAnswered()).isTrue();
            assertThat(end.reply().headers().get("Id")).isEqualTo("new");
        }
    }

    @Test
    void shouldReportATruncatedResponseAsSpoiled() throws Exception {
        BlockingQueue<End> ends = call("a", 2_000);
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            write(socket, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nok");
        }

        assertThat(end(ends).failure()).isEqualTo(Failure.SPOILED);
    }

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 2\r\n", "", "Transfer-Encoding: chunked\r\n"})
    void shouldAcceptNoResponseWhoseHeadIsTruncatedAnywhere(String framing) throws Exception {
        String head = "HTTP/1.1 200 OK\r\nId: a\r\n" + framing + "\r\n";
        for (int length = 1; length < head.length(); length++) {
            BlockingQueue<End> ends = call("a", 2_000);
            try (Socket socket = listener.accept()) {
                readRequest(socket);
                write(socket, head.substring(0, length));
            }

            assertThat(end(ends).isAnswered()).as("cut after " + length).isFalse();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 2\r\n\r\nok", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"})
    void shouldAcceptNoResponseWhoseBodyIsTruncatedAnywhere(String framing) throws Exception {
        String response = "HTTP/1.1 200 OK\r\nId: a\r\n" + framing;
        for (int length = response.indexOf("\r\n\r\n") + 4; length < response.length(); length++) {
            BlockingQueue<End> ends = call("a", 2_000);
            try (Socket socket = listener.accept()) {
                readRequest(socket);
                write(socket, response.substring(0, length));
            }

            assertThat(end(ends).failure()).as("cut after " + length).isEqualTo(Failure.SPOILED);
        }
    }

    @Test
    void shouldReportAResponseWithoutLengthAsSpoiledWhenItsConnectionIsReset() throws Exception {
        BlockingQueue<End> ends = call("a", 2_000);
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            write(socket, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nok");
            Thread.sleep(100);
            socket.setSoLinger(true, 0);
        }

        assertThat(end(ends).failure()).isEqualTo(Failure.SPOILED);
    }

    @Test
    void shouldAcceptAResponseWithoutLengthWhenItsConnectionIsClosedNormally() throws Exception {
        BlockingQueue<End> ends = call("a", 2_000);
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            write(socket, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nok");
        }

        assertThat(end(ends).isAnswered()).isTrue();
    }

    @Test
    void shouldNotReuseAConnectionThatReceivedMoreThanTheResponse() throws Exception {
        BlockingQueue<End> first = call("a", 2_000);
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            write(socket, OK.formatted("a"));
            assertThat(end(first).isAnswered()).isTrue();
            write(socket, OK.formatted("a"));
            Thread.sleep(200);

            BlockingQueue<End> second = call("a", 2_000);
            try (Socket other = listener.accept()) {
                readRequest(other);
                write(other, OK.formatted("a"));

                assertThat(end(second).isAnswered()).isTrue();
            }
        }
    }

    @Test
    void shouldWaitForALongResponseWhileMoreOfItArrives() throws Exception {
        BlockingQueue<End> ends = call("a", new CallTimeouts(400, 400, 5_000));
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            write(socket, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\n");
            for (String part : "parts".split("")) {
                Thread.sleep(150);
                write(socket, part);
            }

            assertThat(end(ends).isAnswered()).isTrue();
        }
    }

    @Test
    void shouldGiveUpAResponseThatStalls() throws Exception {
        BlockingQueue<End> ends = call("a", new CallTimeouts(400, 400, 5_000));
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            write(socket, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\npa");

            End end = end(ends);

            assertThat(end.failure()).isEqualTo(Failure.LOST);
            assertThat(end.detail()).contains("2 bytes received");
        }
    }

    @Test
    void shouldResetTheConnectionOfACallThatTimedOut() throws Exception {
        BlockingQueue<End> ends = call("a", 200);
        try (Socket socket = listener.accept()) {
            readRequest(socket);

            assertThat(end(ends).failure()).isEqualTo(Failure.LOST);
            assertThatThrownBy(() -> socket.getInputStream().read()).hasMessageContaining("reset");
        }
    }

    @Test
    void shouldReportARefusedConnectionWhenNothingListensOnThePort() throws Exception {
        listener.close();

        assertThat(end(call("a", 2_000)).failure()).isEqualTo(Failure.CONNECTION_REFUSED);
    }

    @Test
    void shouldNotTakeADuplicateRefusalForTheResponseToALaterCall() throws Exception {
        String refusal = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
        BlockingQueue<End> first = call("a", 2_000);
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            write(socket, refusal);
            assertThat(end(first).isAnswered()).isTrue();

            BlockingQueue<End> second = call("b", 2_000);
            readRequest(socket);
            write(socket, refusal);

            assertThat(end(second).failure()).isEqualTo(Failure.SPOILED);
        }
    }

    @Test
    void shouldCloseAnIdleConnectionThatReceivesEndlessBytes() throws Exception {
        BlockingQueue<End> first = call("a", 2_000);
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            write(socket, OK.formatted("a"));
            assertThat(end(first).isAnswered()).isTrue();

            writeWithoutEnd(socket, "\r\n");
        }
    }

    @Test
    void shouldNotReuseAConnectionThatReceivedTheBeginningOfAnotherResponse() throws Exception {
        BlockingQueue<End> first = call("a", 2_000);
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            write(socket, OK.formatted("a"));
            assertThat(end(first).isAnswered()).isTrue();
            write(socket, "HTTP/1.1 503 Full\r\nId: a\r\n");
            Thread.sleep(200);

            BlockingQueue<End> second = call("b", 2_000);
            listener.setSoTimeout(2_000);
            try (Socket other = listener.accept()) {
                readRequest(other);
                write(other, OK.formatted("b"));

                assertThat(end(second).isAnswered()).isTrue();
            }
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nId: a\r\n",
                "HTTP/1.1 200 OK\r\nId: a\r\n\r\n",
                "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 999999999999\r\n\r\n",
                "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n",
                "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n",
                "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5;name=",
                "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nTrailer: ",
                "",
            })
    void shouldEndACallAtOnceWhenItsResponseIsEndless(String begin) throws Exception {
        BlockingQueue<End> ends = call("a", 8_000);
        try (Socket socket = listener.accept()) {
            readRequest(socket);
            write(socket, begin);
            writeWithoutEnd(socket, "0123456789abcdef");

            assertThat(end(ends).failure()).isEqualTo(Failure.SPOILED);
        }
    }

    @Test
    void shouldBufferNoMoreThanTheBudgetOfAllResponsesTogether() throws Exception {
        List<BlockingQueue<End>> ends = new ArrayList<>();
        List<Socket> sockets = new ArrayList<>();
        byte[] part = new byte[12 << 20];
        for (int index = 0; index < 4; index++) {
            ends.add(call("a", 8_000));
            Socket socket = listener.accept();
            sockets.add(socket);
            readRequest(socket);
            write(socket, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 16000000\r\n\r\n");
        }

        List<Thread> writers = new ArrayList<>();
        for (Socket socket : sockets) {
            Thread writer = new Thread(() -> {
                try {
                    socket.getOutputStream().write(part);
                } catch (IOException e) {
                    assertThat(e).isNotNull();
                }
            });
            writer.start();
            writers.add(writer);
        }
        for (Thread writer : writers) {
            writer.join(5_000);
        }

        long spoiled = 0;
        for (BlockingQueue<End> queue : ends) {
            End end = queue.poll(300, TimeUnit.MILLISECONDS);
            spoiled += end != null && end.failure() == Failure.SPOILED ? 1 : 0;
        }
        assertThat(spoiled).isBetween(2L, 3L);
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
