package org.daisyscale.codec.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.daisyscale.codec.CodecErrorCode;
import org.daisyscale.codec.CodecException;
import org.daisyscale.codec.SampleRecords;
import org.daisyscale.core.membership.ServerStatus;
import org.daisyscale.core.peer.PeerMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.msgpack.jackson.dataformat.MessagePackFactory;

class PeerCodecTest {
    private static final int VERSION = PeerCodec.PROTOCOL_VERSION;
    private static final int PING_LIMIT_BYTES = 26;
    private final PeerCodec codec = new PeerCodec(SampleRecords::parseDocument);
    private final ObjectMapper rawMapper = new ObjectMapper(new MessagePackFactory());

    @ParameterizedTest
    @MethodSource("messageTypes")
    void shouldDecodeEveryMessageThatItEncodes(Class<? extends PeerMessage> type) {
        PeerMessage message = SampleRecords.sampleOf(type);

        PeerMessage decoded = codec.decode(codec.encode(message));

        assertThat(decoded).isEqualTo(message);
    }

    @Test
    void shouldPreserveAServerWithoutStatus() {
        ServerStatus none = null;
        PeerMessage.ServerView view = new PeerMessage.ServerView("s1", false, 5, none, 0, List.of());
        PeerMessage message = new PeerMessage.RangeReport("lookup", 0, List.of(view), List.of());

        PeerMessage decoded = codec.decode(codec.encode(message));

        assertThat(decoded).isEqualTo(message);
    }

    @Test
    void shouldIgnoreUnknownFields() throws Exception {
        byte[] bytes = rawMapper.writeValueAsBytes(List.of(VERSION, List.of("Ping", List.of(5, 6, 7, "new field"))));

        PeerMessage decoded = codec.decode(bytes);

        assertThat(decoded).isEqualTo(new PeerMessage.Ping(5, 6, 7));
    }

    @Test
    void shouldKeepAPingSmallEnoughToSendOftenToManySeats() {
        long monthNanos = 30L * 24 * 3_600 * 1_000_000_000L;

        byte[] bytes = codec.encode(new PeerMessage.Ping(monthNanos, 1_000_000, 50_000));

        assertThat(bytes).hasSizeLessThanOrEqualTo(PING_LIMIT_BYTES);
    }

    @Test
    void shouldRejectAnUnknownMessage() throws Exception {
        byte[] bytes = rawMapper.writeValueAsBytes(List.of(VERSION, List.of("Gossip", List.of())));

        assertRejected(() -> codec.decode(bytes), CodecErrorCode.UNKNOWN_MESSAGE);
    }

    @Test
    void shouldRejectAnotherProtocolVersionWhateverFollows() throws Exception {
        byte[] bytes = rawMapper.writeValueAsBytes(List.of(VERSION + 1, "anything"));

        assertRejected(() -> codec.decode(bytes), CodecErrorCode.WRONG_PROTOCOL_VERSION);
    }

    @Test
    void shouldRejectAMessageThatLacksAField() throws Exception {
        byte[] bytes = rawMapper.writeValueAsBytes(List.of(VERSION, List.of("Ping", List.of(5))));

        assertRejected(() -> codec.decode(bytes), CodecErrorCode.MALFORMED_MESSAGE);
    }

    @Test
    void shouldRejectAMessageTruncatedAtAnyByte() {
        byte[] bytes = codec.encode(SampleRecords.sampleOf(PeerMessage.PermitGranted.class));

        for (int length = 0; length < bytes.length; length++) {
            byte[] truncated = Arrays.copyOf(bytes, length);
            assertRejected(() -> codec.decode(truncated), CodecErrorCode.MALFORMED_MESSAGE);
        }
    }

    @Test
    void shouldRejectBytesAfterTheMessage() {
        byte[] bytes = codec.encode(new PeerMessage.MapRequest());
        byte[] longer = Arrays.copyOf(bytes, bytes.length + 1);

        assertRejected(() -> codec.decode(longer), CodecErrorCode.MALFORMED_MESSAGE);
    }

    private static Stream<Class<?>> messageTypes() {
        return Arrays.stream(PeerMessage.class.getPermittedSubclasses());
    }

    private static void assertRejected(ThrowingCallable call, CodecErrorCode code) {
        assertThatThrownBy(call)
                .isInstanceOfSatisfying(
                        CodecException.class, e -> assertThat(e.errorCode()).isEqualTo(code));
    }
}
