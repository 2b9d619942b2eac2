package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.daisyscale.core.keys.KeyAction;
import org.daisyscale.core.keys.KeyController;
import org.daisyscale.core.keys.KeyEvent;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.KeyAssignment.Owner;
import org.daisyscale.core.serving.ServingAction;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Servers that send responses without a request id a second time. */
class CopiedControlResponseTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final String HEALTHY = "HTTP/1.1 200 OK\r\nServer-Id: s1\r\nContent-Length: 0\r\n\r\n";
    private static final String CONFLICT = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
    private static final String COLD = "HTTP/1.1 200 OK\r\nCold-Left: %d\r\nContent-Length: 0\r\n\r\n";

    private final HttpLoop loop = HttpLoop.start("test-calls");
    private final Ring<KeyEvent> events = new ArrayRing<>("test-events", 64);
    private final BlockingQueue<ServingEvent> healthReports = new ArrayBlockingQueue<>(8);
    private final UnnamedControlDialect dialect = new UnnamedControlDialect();
    private ServerSocket listener;

    @BeforeEach
    void listen() throws IOException {
        listener = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        listener.setSoTimeout(1_000);
    }

    @AfterEach
    void close() throws IOException {
        listener.close();
        loop.close();
    }

    /** A controller that takes {@code actions} whatever happens. */
    private record FixedController(List<KeyAction> actions) implements KeyController {

        @Override
        public List<KeyAction> handle(List<KeyEvent> unused, long nowNanos) {
            return actions;
        }

        @Override
        public long nextDueNanos() {
            return System.nanoTime();
        }
    }

    private void run(KeyAction... actions) throws InterruptedException {
        KeyController controller = new FixedController(List.of(actions));
        Ring<KeyEvent> noEvents = new ArrayRing<>("test-no-events", 1);
        new KeyDuty(
                        controller,
                        new ForwardingRing(noEvents, events),
                        new ArrayRing<>("test-maps", 1),
                        null,
                        loop,
                        dialect,
                        new ServingMetrics())
                .runStep();
    }

    /** A ring that passes on what is added to it, and is empty. */
    private record ForwardingRing(Ring<KeyEvent> empty, Ring<KeyEvent> target) implements Ring<KeyEvent> {

        @Override
        public String name() {
            return target.name();
        }

        @Override
        public boolean offer(KeyEvent event) {
            return target.offer(event);
        }

        @Override
        public void put(KeyEvent event) throws InterruptedException {
            target.put(event);
        }

        @Override
        public java.util.Optional<KeyEvent> poll(Duration timeout) throws InterruptedException {
            return empty.poll(timeout);
        }

        @Override
        public int size() {
            return empty.size();
        }

        @Override
        public int capacity() {
            return target.capacity();
        }
    }

    private Owner owner() {
        return Owner.of(new BackendServer("s1", 1, "stock", "127.0.0.1", listener.getLocalPort(), "d", 3, false, 0));
    }

    private KeyAction.SendRelease release(long callId, String healthPath) {
        return new KeyAction.SendRelease(callId, owner(), 0, 9, 7, healthPath, System.nanoTime() + 1_000_000_000L);
    }

    private KeyAction.SendGrant grant(long callId, long fence, boolean isRenewal, String healthPath) {
        long sendBeforeNanos = System.nanoTime() + 1_000_000_000L;
        return new KeyAction.SendGrant(
                callId, owner(), 0, 9, fence, isRenewal, false, 2_400, "", healthPath, sendBeforeNanos);
    }

    private static String readTarget(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new SocketException("the connection is closed");
            }
            head.append((char) next);
        }
        return head.toString().split(" ")[1];
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Sends a copy, which the other side may have prevented by closing the connection. */
    private static void writeCopy(Socket socket, String text) {
        try {
            write(socket, text);
        } catch (IOException closed) {
            assertThat(closed).isInstanceOf(SocketException.class);
        }
    }

    private KeyEvent event(long millis) throws InterruptedException {
        return events.poll(Duration.ofMillis(millis)).orElse(null);
    }

    private void assertNoEvent() throws InterruptedException {
        assertThat(event(200)).as("end of a call that no server has answered").isNull();
    }

    @Test
    void shouldNotTakeACopyOfTheResponseToAnEarlierReleaseForTheResponseToARelease() throws Exception {
        run(release(1, ""));
        try (Socket first = listener.accept()) {
            readTarget(first);
            write(first, OK);
            assertThat(event(2_000)).isEqualTo(new KeyEvent.Released(1, ""));

            run(release(2, ""));
            Thread.sleep(100);
            writeCopy(first, OK);
            assertNoEvent();
            try (Socket second = listener.accept()) {
                readTarget(second);
                write(second, OK);
                assertThat(event(2_000)).isEqualTo(new KeyEvent.Released(2, ""));
            }
        }
    }

    @Test
    void shouldNotTakeACopiedHealthResponseInTheSamePacketForTheResponseToARelease() throws Exception {
        run(release(1, "/health"));
        try (Socket checked = listener.accept()) {
            assertThat(readTarget(checked)).isEqualTo("/health");
            write(checked, HEALTHY.repeat(2));

            assertNoEvent();
            try (Socket releasing = listener.accept()) {
                assertThat(readTarget(releasing)).isEqualTo("/release");
                write(releasing, OK);
                assertThat(event(2_000)).isEqualTo(new KeyEvent.Released(1, ""));
            }
        }
    }

    @Test
    void shouldNotTakeALaterCopyOfAHealthResponseForTheResponseToARelease() throws Exception {
        run(release(1, "/health"));
        try (Socket checked = listener.accept()) {
            readTarget(checked);
            write(checked, HEALTHY);
            Thread.sleep(100);
            writeCopy(checked, HEALTHY);

            assertNoEvent();
        }
    }

    @Test
    void shouldNotTakeACopiedHealthResponseInTheSamePacketForTheResponseToAGrant() throws Exception {
        run(grant(1, 7, false, "/health"));
        try (Socket checked = listener.accept()) {
            assertThat(readTarget(checked)).isEqualTo("/health");
            write(checked, HEALTHY.repeat(2));

            assertNoEvent();
        }
    }

    @Test
    void shouldNotTakeACopiedRejectionForTheRejectionOfALaterGrant() throws Exception {
        run(grant(1, 7, false, ""));
        try (Socket socket = listener.accept()) {
            readTarget(socket);
            write(socket, OK);
            event(2_000);
            run(grant(2, 8, false, ""));
            readTarget(socket);
            write(socket, CONFLICT);

            assertThat(event(2_000)).isEqualTo(new KeyEvent.CallUnanswered(2, true));
        }
        run(grant(3, 9, false, ""));
        try (Socket fresh = listener.accept()) {
            readTarget(fresh);
            write(fresh, CONFLICT);

            assertThat(event(2_000)).isEqualTo(new KeyEvent.GrantRejected(3));
        }
    }

    @Test
    void shouldNotTakeACopiedHealthResponseForTheResponseToALaterHealthCheck() throws Exception {
        HealthCheckSender sender = new HealthCheckSender(loop, dialect, healthReports::add);
        BackendServer server =
                new BackendServer("s1", 1, "stock", "127.0.0.1", listener.getLocalPort(), "d", 3, false, 0);
        sender.send(new ServingAction.CheckHealth(server, "/health"));
        try (Socket first = listener.accept()) {
            readTarget(first);
            write(first, COLD.formatted(0));
            assertThat(healthReports.poll(2, TimeUnit.SECONDS)).isNotNull();

            sender.send(new ServingAction.CheckHealth(server, "/health"));
            Thread.sleep(50);
            writeCopy(first, COLD.formatted(0));
            assertThat(healthReports.poll(100, TimeUnit.MILLISECONDS))
                    .as("end of a check that no server has answered")
                    .isNull();
        }
    }
}
