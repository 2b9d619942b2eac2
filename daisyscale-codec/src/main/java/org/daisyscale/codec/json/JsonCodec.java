package org.daisyscale.codec.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.daisyscale.codec.CodecErrorCode;
import org.daisyscale.codec.CodecException;
import org.daisyscale.codec.internal.RecordMappers;
import org.daisyscale.core.document.Configuration;
import org.daisyscale.core.document.EnvironmentDocument;
import org.daisyscale.core.ownership.OwnershipMap;

/**
 * Encodes and decodes JSON for the platform's service and HTTP bodies. Fields are named after the record components;
 * unknown fields are ignored. A {@link Configuration} is written without its parsed document, which is parsed again
 * from the document's text when it is read. Thread-safe: the only mutable state is a concurrent cache of readers.
 *
 * <pre>{@code
 * JsonCodec codec = new JsonCodec(documentReader::read);
 * byte[] bytes = codec.write(map);
 * OwnershipMap same = codec.readMap(bytes);
 * }</pre>
 */
public final class JsonCodec {
    private final ObjectMapper mapper;
    private final ObjectWriter writer;
    private final ObjectReader mapReader;
    private final ObjectReader configurationReader;
    private final Map<Class<?>, ObjectReader> readerByType = new ConcurrentHashMap<>();
    private final Map<Class<?>, ObjectReader> listReaderByType = new ConcurrentHashMap<>();

    /** Creates a codec that parses the document text of a configuration with {@code documentParser}. */
    public JsonCodec(Function<String, EnvironmentDocument> documentParser) {
        this.mapper = RecordMappers.create(new JsonFactory(), documentParser)
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
        this.writer = mapper.writer();
        this.mapReader = strictReader(OwnershipMap.class);
        this.configurationReader = strictReader(Configuration.class);
    }

    /**
     * Returns {@code value} as JSON in UTF-8.
     *
     * @throws CodecException if the value can't be encoded
     */
    public byte[] write(Object value) {
        try {
            return writer.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new CodecException(CodecErrorCode.UNWRITABLE_VALUE, e.getOriginalMessage(), e);
        }
    }

    /**
     * Decodes an ownership map; every field must be present.
     *
     * @throws CodecException if the JSON is malformed or lacks a field
     */
    public OwnershipMap readMap(byte[] json) {
        return read(mapReader, json, OwnershipMap.class.getSimpleName());
    }

    /**
     * Decodes a configuration and parses its document; every field must be present.
     *
     * @throws CodecException if the JSON is malformed or lacks a field
     */
    public Configuration readConfiguration(byte[] json) {
        return read(configurationReader, json, Configuration.class.getSimpleName());
    }

    /**
     * Decodes a value of {@code type}. A missing field becomes null, zero or false.
     *
     * @throws CodecException if the JSON is malformed or null
     */
    public <T> T read(byte[] json, Class<T> type) {
        return read(readerByType.computeIfAbsent(type, mapper::readerFor), json, type.getSimpleName());
    }

    /**
     * Decodes a list of values of {@code type}. A missing field of a value becomes null, zero or false.
     *
     * @throws CodecException if the JSON is malformed or null
     */
    public <T> List<T> readList(byte[] json, Class<T> type) {
        ObjectReader reader = listReaderByType.computeIfAbsent(type, mapper::readerForListOf);
        return read(reader, json, "list of " + type.getSimpleName());
    }

    private ObjectReader strictReader(Class<?> type) {
        return mapper.readerFor(type)
                .with(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
                .with(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
    }

    private static <T> T read(ObjectReader reader, byte[] json, String typeName) {
        try {
            T value = reader.readValue(json);
            if (value == null) {
                throw new CodecException(CodecErrorCode.MALFORMED_JSON, typeName + " is null", null);
            }
            return value;
        } catch (IOException | IllegalArgumentException e) {
            throw new CodecException(CodecErrorCode.MALFORMED_JSON, typeName + ": " + reason(e), e);
        }
    }

    private static String reason(Exception e) {
        return e instanceof JsonProcessingException failure ? failure.getOriginalMessage() : e.getMessage();
    }
}
