package org.daisyscale.router.internal.trace;

import static org.assertj.core.api.Assertions.assertThat;

import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;
import org.daisyscale.core.membership.ServerStatus;
import org.daisyscale.core.peer.PeerMessage;
import org.junit.jupiter.api.Test;

class TraceCodecTest {
    private static final Moment MOMENT = new Moment(12, 34);

    @Test
    void shouldDecodeAnEncodedPeerMessage() {
        Event event = new Event.PeerMessageReceived("router-2", new PeerMessage.Ping(1, 2, 3));
        TraceEntry entry = new TraceEntry(event, MOMENT);

        TraceEntry read = TraceCodec.read(TraceCodec.write(entry));

        assertThat(read).isEqualTo(entry);
    }

    @Test
    void shouldDecodeAnEncodedProbeAnswer() {
        ServerStatus status = new ServerStatus("life-1", 5, true, 2, 0.5, 9);
        TraceEntry entry = new TraceEntry(new Event.ProbeAnswered("server-1", 1, 2, status), MOMENT);

        TraceEntry read = TraceCodec.read(TraceCodec.write(entry));

        assertThat(read).isEqualTo(entry);
    }
}
