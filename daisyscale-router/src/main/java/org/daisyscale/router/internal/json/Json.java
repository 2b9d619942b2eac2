package org.daisyscale.router.internal.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Encodes and decodes JSON bodies of the shell's own HTTP calls. The components of a record are the fields of the JSON
 * object; unknown fields are ignored. Safe for use by several threads.
 */
public final class Json {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private Json() {}

    /** Returns {@code value} as JSON in UTF-8. */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns the value of {@code type} that {@code bytes} encode.
     *
     * @throws UncheckedIOException if the bytes are not JSON of that type, or are the JSON null
     */
    public static <T> T read(byte[] bytes, Class<T> type) {
        try {
            T value = MAPPER.readValue(bytes, type);
            if (value == null) {
                throw new IOException("the JSON value is null; an object is required");
            }
            return value;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
