package org.daisyscale.testkit.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.daisyscale.testkit.error.TestkitErrorCode;
import org.daisyscale.testkit.error.TestkitException;

/** JSON for the stand-ins. Stateless and safe for use by any thread. */
public final class Json {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private Json() {}

    /** The JSON of {@code value}. */
    public static byte[] bytes(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new TestkitException(TestkitErrorCode.BAD_MESSAGE, e.getOriginalMessage(), e);
        }
    }

    /** The tree of {@code json}; an empty object when it is empty. */
    public static JsonNode tree(byte[] json) {
        if (json.length == 0) {
            return MAPPER.createObjectNode();
        }
        return read(json, JsonNode.class);
    }

    /** The record of {@code type} in {@code json}. */
    public static <T> T read(byte[] json, Class<T> type) {
        try {
            return MAPPER.readValue(json, type);
        } catch (IOException e) {
            throw new TestkitException(TestkitErrorCode.BAD_MESSAGE, e.getMessage(), e);
        }
    }
}
