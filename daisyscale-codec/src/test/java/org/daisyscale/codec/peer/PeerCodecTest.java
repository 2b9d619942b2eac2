package org.daisyscale.codec.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.daisyscale.codec.CodecErrorCode;
import org.daisyscale.codec.CodecException;
import org.daisyscale.codec.SampleRecords;
import org.daisyscale.core.following.TableUpdate;
import org.daisyscale.core.following.ViewUpdate;
import org.daisyscale.core.following.ViewVersion;
import org.daisyscale.core.membership.ServerStatus;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.core.serving.RoutingTableChange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.msgpack.jackson.dataformat.MessagePackFactory;

class PeerCodecTest {
    private static final int VERSION = PeerCodec.PROTOCOL_VERSION;
    private static final int PING_LIMIT_BYTES = 26;
    /** A packet of the smallest size that each link carries undivided, without its headers. */
    private static final int REPORT_LIMIT_BYTES = 512;
    /** Half of the largest frame that a router accepts by default. */
    private static final int LARGE_UPDATE_LIMIT_BYTES = 4 << 20;

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

    /** Guards against a method such as {@code isWhole} that is taken for a field and shifts those after it. */
    @Test
    void shouldWriteOnlyTheComponentsOfAnUpdateInTheirOrder() throws Exception {
        PeerMessage.ViewUpdated message = SampleRecords.sampleOf(PeerMessage.ViewUpdated.class);

        JsonNode fields = rawMapper.readTree(codec.encode(message)).get(1).get(1);

        JsonNode update = fields.get(0);
        JsonNode table = update.get(5).get(0);
        assertThat(fields).hasSize(1);
        assertThat(update).hasSize(ViewUpdate.class.getRecordComponents().length);
        assertThat(update.get(1)).hasSize(ViewVersion.class.getRecordComponents().length);
        assertThat(update.get(3).get(0)).hasSize(CoordinationStore.Item.class.getRecordComponents().length);
        assertThat(table).hasSize(TableUpdate.class.getRecordComponents().length);
        assertThat(table.get(1)).hasSize(RoutingTableChange.class.getRecordComponents().length);
        assertThat(table.get(1).get(7).asLong())
                .isEqualTo(message.update().tables().get(0).change().digest());
    }

    @Test
    void shouldPreserveAnUpdateOfManyItemsWithoutATable() {
        List<CoordinationStore.Item> written = IntStream.range(0, 1_000)
                .mapToObj(index -> new CoordinationStore.Item("servers/s" + index, new byte[200], index))
                .toList();
        Set<String> removedKeys = IntStream.range(0, 1_024)
                .mapToObj(index -> "servers/gone" + index)
                .collect(Collectors.toSet());
        ViewVersion version = new ViewVersion(1_000, Long.MIN_VALUE);
        PeerMessage message =
                new PeerMessage.ViewUpdated(new ViewUpdate("servers/", version, true, written, removedKeys, List.of()));

        byte[] bytes = codec.encode(message);

        assertThat(codec.decode(bytes)).isEqualTo(message);
        assertThat(bytes).hasSizeLessThan(LARGE_UPDATE_LIMIT_BYTES);
    }

    @Test
    void shouldKeepAReportAndItsAnswerSmallEnoughToSendAfterEachRead() {
        ViewVersion version = new ViewVersion(1_000_000, Long.MIN_VALUE);

        byte[] report = codec.encode(new PeerMessage.ViewReport("servers/", version, 3));
        byte[] held = codec.encode(new PeerMessage.ViewHeld("servers/", version, true));

        assertThat(report).hasSizeLessThanOrEqualTo(REPORT_LIMIT_BYTES);
        assertThat(held).hasSizeLessThanOrEqualTo(REPORT_LIMIT_BYTES);
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
