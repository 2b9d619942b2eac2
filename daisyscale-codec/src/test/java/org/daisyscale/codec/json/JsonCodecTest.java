package org.daisyscale.codec.json;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import org.daisyscale.codec.CodecErrorCode;
import org.daisyscale.codec.CodecException;
import org.daisyscale.codec.SampleRecords;
import org.daisyscale.core.document.Configuration;
import org.daisyscale.core.membership.ServerStatus;
import org.daisyscale.core.ownership.Grant;
import org.daisyscale.core.ownership.OwnershipMap;
import org.daisyscale.core.status.RouterStatus;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JsonCodecTest {
    private final JsonCodec codec = new JsonCodec(SampleRecords::parseDocument);

    @ParameterizedTest
    @ValueSource(
            classes = {OwnershipMap.class, Configuration.class, ServerStatus.class, Grant.class, RouterStatus.class})
    void shouldDecodeEveryRecordThatItEncodes(Class<?> type) {
        Object value = SampleRecords.sampleOf(type);

        Object decoded = codec.read(codec.write(value), type);

        assertThat(decoded).isEqualTo(value);
    }

    @Test
    void shouldNameFieldsAfterTheRecordComponents() {
        ServerStatus status = new ServerStatus("life-1", 5, true, 2, 0.5, 9);

        String json = new String(codec.write(status), StandardCharsets.UTF_8);

        assertThat(json)
                .isEqualTo("{\"incarnation\":\"life-1\",\"clockMillis\":5,\"isDraining\":true,"
                        + "\"runningCount\":2,\"load\":0.5,\"grantedMapVersion\":9}");
    }

    @Test
    void shouldNotWriteTheParsedDocument() {
        Configuration configuration = SampleRecords.sampleOf(Configuration.class);

        String json = new String(codec.write(configuration), StandardCharsets.UTF_8);

        assertThat(json).contains("\"documentText\":").doesNotContain("\"document\":");
    }

    @Test
    void shouldNotWriteDerivedValues() {
        OwnershipMap map = SampleRecords.sampleOf(OwnershipMap.class);

        String json = new String(codec.write(map), StandardCharsets.UTF_8);

        assertThat(json).doesNotContain("ettled");
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{", "null", "[]", "{}", "{\"version\":null}", "{} {}"})
    void shouldRejectAMalformedMap(String json) {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);

        assertThatThrownBy(() -> codec.readMap(bytes))
                .isInstanceOfSatisfying(
                        CodecException.class, e -> assertThat(e.errorCode()).isEqualTo(CodecErrorCode.MALFORMED_JSON));
    }

    @Test
    void shouldReadAMapWithFieldsOfALaterRelease() {
        byte[] bytes = ("{\"version\":4,\"term\":2,\"writeId\":\"w\",\"seats\":{\"current\":[],\"previous\":[]},"
                        + "\"ranges\":[],\"slices\":[],\"later\":1}")
                .getBytes(StandardCharsets.UTF_8);

        OwnershipMap map = codec.readMap(bytes);

        assertThat(map.version()).isEqualTo(4);
    }
}
