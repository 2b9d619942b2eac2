package org.daisyscale.codec.document;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snakeyaml.engine.v2.api.Load;
import org.snakeyaml.engine.v2.api.LoadSettings;

class DocumentSchemaTest {
    private final ObjectMapper json = new ObjectMapper();
    private Schema schema;

    @BeforeEach
    void readSchema() throws IOException {
        try (InputStream stream = DocumentReader.class.getResourceAsStream("document.schema.json")) {
            JsonNode text = json.readTree(stream);
            schema = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                    .getSchema(text);
        }
    }

    @ParameterizedTest
    @MethodSource("org.daisyscale.codec.document.DocumentTexts#examples")
    void shouldAcceptTheExamplesAndTheirEffectiveViews(String text) {
        String effective = new DocumentWriter().write(new DocumentReader().read(text));

        assertThat(schema.validate(jsonOf(text))).isEmpty();
        assertThat(schema.validate(jsonOf(effective))).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "deadlineMillis: 0",
                "deadlineMillis: 600001",
                "deadlineMilis: 500",
                "deadlineMillis: 500\n        maxAttempts: 11",
                "deadlineMillis: 500\n        hedgePercentile: 49",
                "deadlineMillis: 500\n        bodyLimitBytes: 104857601",
                "deadlineMillis: 500\n        objective: {goodPercent: 0}"
            })
    void shouldRejectWhatTheReaderRejects(String replacement) {
        String text = DocumentTexts.SMALL.replace("deadlineMillis: 500", replacement);

        assertThat(schema.validate(jsonOf(text))).isNotEmpty();
        assertThat(catchThrowable(() -> new DocumentReader().read(text))).isInstanceOf(DocumentException.class);
    }

    @Test
    void shouldDefineTheSameKeysAsTheReader() {
        JsonNode definitions = schema.getSchemaNode().get("$defs");

        assertThat(keysOf(schema.getSchemaNode())).containsExactlyElementsOf(DocumentKeys.DOCUMENT);
        assertThat(keysOf(definitions.get("service"))).containsExactlyElementsOf(DocumentKeys.SERVICE);
        assertThat(keysOf(definitions.get("job"))).containsExactlyElementsOf(DocumentKeys.JOB);
        assertThat(keysOf(definitions.get("kind"))).containsExactlyElementsOf(DocumentKeys.KIND);
        assertThat(keysOf(definitions.get("key"))).containsExactlyElementsOf(DocumentKeys.KEY);
        assertThat(keysOf(definitions.get("objective"))).containsExactlyElementsOf(DocumentKeys.OBJECTIVE);
    }

    private static List<String> keysOf(JsonNode definition) {
        List<String> keys = new ArrayList<>();
        definition.get("properties").fieldNames().forEachRemaining(keys::add);
        return keys;
    }

    private JsonNode jsonOf(String yaml) {
        Object value = new Load(LoadSettings.builder().build()).loadFromString(yaml);
        return json.valueToTree(value);
    }
}
