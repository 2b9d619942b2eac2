package org.daisyscale.router.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.daisyscale.codec.peer.HandshakeCodec;
import org.daisyscale.codec.peer.HandshakeMessage;
import org.daisyscale.codec.peer.PeerCodec;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.document.EnvironmentDocument;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.peer.PeerMessage.PermitCancelled;
import org.daisyscale.core.peer.PeerMessage.Ping;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class PeerNetworkTest {
    /** Where the envelope of a message has the protocol version. */
    private static final int VERSION_INDEX = 1;

    private static final String HOST = "127.0.0.1";
    private static final Duration WAIT = Duration.ofSeconds(10);
    private static final Duration QUIET = Duration.ofMillis(300);
    private static final PeerSecret SECRET = PeerSecret.of("shared");
    private static final PeerCodec CODEC = new PeerCodec(text -> new EnvironmentDocument(1, "trial", List.of()));

    private final Ring<Event> events1 = new ArrayRing<>("events-1", 10_000);
    private final Ring<Event> events2 = new ArrayRing<>("events-2", 10_000);

    @Test
    void shouldCarryMessagesBetweenRoutersThatShareTheSecret() throws Exception {
        try (PeerNetwork first = start("r1", SECRET, events1);
                PeerNetwork second = start("r2", SECRET, events2)) {
            connect(first, second);

            first.send(new Action.SendPeer("r2", new PermitCancelled("q1")));

            assertThat(next(events2)).isEqualTo(new Event.PeerMessageReceived("r1", new PermitCancelled("q1")));
        }
    }

    @Test
    void shouldNotConnectWithAWrongSecret() throws Exception {
        try (PeerNetwork first = start("r1", SECRET, events1);
                PeerNetwork second = start("r2", PeerSecret.of("another"), events2)) {
            first.updatePeer(new Action.KnowPeer("r2", HOST, second.port()));
            second.updatePeer(new Action.KnowPeer("r1", HOST, first.port()));

            Optional<Event> event1 = events1.poll(QUIET);
            Optional<Event> event2 = events2.poll(QUIET);

            assertThat(event1).isEmpty();
            assertThat(event2).isEmpty();
        }
    }

    @Test
    void shouldReportTheDisconnectAndReconnectAfterAPeerRestarts() throws Exception {
        try (PeerNetwork first = start("r1", SECRET, events1)) {
            int port;
            try (PeerNetwork second = start("r2", SECRET, events2)) {
                connect(first, second);
                port = second.port();
            }
            assertThat(next(events1)).isEqualTo(new Event.PeerDisconnected("r2"));

            try (PeerNetwork restarted = PeerNetwork.start(settings("r2", port, 4_096), SECRET, CODEC, events2)) {
                restarted.updatePeer(new Action.KnowPeer("r1", HOST, first.port()));

                assertThat(next(events1)).isEqualTo(new Event.PeerConnected("r2"));
            }
        }
    }

    @Test
    void shouldReportAPermitMessageToADeadPeerAsDisconnected() throws Exception {
        try (PeerNetwork first = start("r1", SECRET, events1)) {
            first.updatePeer(new Action.KnowPeer("r2", HOST, 1));

            first.send(new Action.SendPeer("r2", new PermitCancelled("q1")));

            assertThat(next(events1)).isEqualTo(new Event.PeerDisconnected("r2"));
        }
    }

    @Test
    void shouldCloseOnlyTheConnectionWithAnOversizedFrame() throws Exception {
        try (PeerNetwork first = start("r1", SECRET, events1);
                PeerNetwork second = start("r2", SECRET, events2);
                FakePeer fake = new FakePeer("r3", SECRET);
                Socket socket = fake.dial(first.port(), "r1")) {
            connect(first, second);

            new DataOutputStream(socket.getOutputStream()).writeInt(Integer.MAX_VALUE);

            assertThat(new DataInputStream(socket.getInputStream()).read()).isEqualTo(-1);
            second.send(new Action.SendPeer("r1", new PermitCancelled("q1")));
            assertThat(next(events1)).isEqualTo(new Event.PeerMessageReceived("r2", new PermitCancelled("q1")));
        }
    }

    @Test
    void shouldCloseOnlyTheConnectionWithAMalformedMessage() throws Exception {
        try (PeerNetwork first = start("r1", SECRET, events1);
                FakePeer fake = new FakePeer("r3", SECRET);
                Socket bad = fake.dial(first.port(), "r1");
                FakePeer other = new FakePeer("r4", SECRET);
                Socket good = other.dial(first.port(), "r1")) {
            FakePeer.writeFrame(bad, new byte[] {1, 2, 3});

            assertThat(bad.getInputStream().read()).isEqualTo(-1);
            FakePeer.writeFrame(good, CODEC.encode(new PermitCancelled("q1")));
            assertThat(next(events1)).isEqualTo(new Event.PeerMessageReceived("r4", new PermitCancelled("q1")));
        }
    }

    /** Guards against a router of another release whose connection disturbs the others. */
    @Test
    void shouldCloseOnlyTheConnectionOfAPeerWithAnotherProtocolVersion() throws Exception {
        byte[] hello = new HandshakeCodec().encode(new HandshakeMessage.Hello("r5", PeerSecret.newNonce()));
        hello[VERSION_INDEX] = PeerCodec.PROTOCOL_VERSION - 1;
        try (PeerNetwork first = start("r1", SECRET, events1);
                PeerNetwork second = start("r2", SECRET, events2);
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), first.port())) {
            FakePeer.writeFrame(socket, hello);

            assertThat(socket.getInputStream().read()).isEqualTo(-1);
            connect(first, second);
            second.send(new Action.SendPeer("r1", new PermitCancelled("q1")));
            assertThat(next(events1)).isEqualTo(new Event.PeerMessageReceived("r2", new PermitCancelled("q1")));
        }
    }

    @Test
    void shouldReadNoMessageFromAnUnauthenticatedDialer() throws Exception {
        try (PeerNetwork first = start("r1", SECRET, events1);
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), first.port())) {
            FakePeer.writeFrame(socket, CODEC.encode(new PermitCancelled("q1")));

            assertThat(socket.getInputStream().read()).isEqualTo(-1);
            assertThat(events1.poll(QUIET)).isEmpty();
        }
    }

    @Test
    void shouldCloseAConnectionThatStaysSilent() throws Exception {
        try (PeerNetwork first = start("r1", SECRET, events1);
                FakePeer fake = new FakePeer("r3", SECRET)) {
            first.updatePeer(new Action.KnowPeer("r3", HOST, fake.port()));
            try (Socket accepted = fake.accept();
                    Socket dialed = fake.dial(first.port(), "r1")) {
                assertThat(next(events1)).isEqualTo(new Event.PeerConnected("r3"));

                assertThat(next(events1)).isEqualTo(new Event.PeerDisconnected("r3"));
                assertThat(accepted.isConnected() && dialed.isConnected()).isTrue();
            }
        }
    }

    @Test
    void shouldSendAStalledPeerOnlyTheNewestPingAndDisconnectWhenItsOutboxIsFull() throws Exception {
        PeerSettings settings = settings("r1", 0, 100);
        try (PeerNetwork first = PeerNetwork.start(settings, SECRET, CODEC, events1);
                FakePeer fake = new FakePeer("r3", SECRET)) {
            first.updatePeer(new Action.KnowPeer("r3", HOST, fake.port()));
            try (Socket accepted = fake.accept();
                    Socket dialed = fake.dial(first.port(), "r1")) {
                assertThat(next(events1)).isEqualTo(new Event.PeerConnected("r3"));
                stall(first);
                for (int i = 0; i < 1_000; i++) {
                    first.send(new Action.SendPeer("r3", new Ping(i, 0, 0)));
                }

                assertThat(firstPing(accepted)).isEqualTo(new Ping(999, 0, 0));
                stall(first);
                for (int i = 0; i < 101; i++) {
                    first.send(new Action.SendPeer("r3", new PermitCancelled("q" + i)));
                }
                assertThat(next(events1)).isEqualTo(new Event.PeerDisconnected("r3"));
                assertThat(dialed.isConnected()).isTrue();
            }
        }
    }

    @Test
    void shouldFailToStartOnAPortInUse() {
        try (PeerNetwork first = start("r1", SECRET, events1)) {
            PeerSettings settings = settings("r2", first.port(), 100);

            assertThatThrownBy(() -> PeerNetwork.start(settings, SECRET, CODEC, events2))
                    .isInstanceOf(PeerException.class)
                    .hasMessageContaining(PeerErrorCode.CANNOT_LISTEN.code());
        }
    }

    private static void stall(PeerNetwork network) throws InterruptedException {
        for (int i = 0; i < 90; i++) {
            String large = "x".repeat(100_000);
            network.send(new Action.SendPeer("r3", new PermitCancelled(large)));
        }
        Thread.sleep(QUIET.toMillis());
    }

    private static PeerMessage firstPing(Socket socket) throws Exception {
        PeerMessage message = new PermitCancelled("");
        while (!(message instanceof Ping)) {
            byte[] frame = FakePeer.readFrame(socket);
            message = frame.length == 0 ? message : CODEC.decode(frame);
        }
        return message;
    }

    private void connect(PeerNetwork first, PeerNetwork second) throws InterruptedException {
        first.updatePeer(new Action.KnowPeer("r2", HOST, second.port()));
        second.updatePeer(new Action.KnowPeer("r1", HOST, first.port()));
        assertThat(next(events1)).isEqualTo(new Event.PeerConnected("r2"));
        assertThat(next(events2)).isEqualTo(new Event.PeerConnected("r1"));
    }

    private static PeerNetwork start(String routerId, PeerSecret secret, Ring<Event> events) {
        return PeerNetwork.start(settings(routerId, 0, 4_096), secret, CODEC, events);
    }

    private static PeerSettings settings(String routerId, int port, int outboxLimit) {
        return new PeerSettings(routerId, HOST, port, 1 << 20, outboxLimit, 500, 1_000, 200, 1_000, 20, 100);
    }

    private static Event next(Ring<Event> events) throws InterruptedException {
        return events.poll(WAIT).orElseThrow();
    }
}
