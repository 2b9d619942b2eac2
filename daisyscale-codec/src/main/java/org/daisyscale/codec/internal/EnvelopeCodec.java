package org.daisyscale.codec.internal;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.exc.InvalidTypeIdException;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.AnnotatedClass;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.Function;
import org.daisyscale.codec.CodecErrorCode;
import org.daisyscale.codec.CodecException;
import org.daisyscale.core.document.EnvironmentDocument;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes and decodes the records of one sealed interface as MessagePack. The envelope is
 * {@code [protocolVersion, [typeName, fields]]}, where the type name is the record's simple name. The fields are an
 * array in the order of the record's components, which saves sending their names. Every field must be present, and
 * extra fields after the last are ignored, so new components must be added at the end. Immutable and thread-safe.
 *
 * @param <T> the sealed interface
 */
public final class EnvelopeCodec<T> {
    private static final int TYPICAL_MESSAGE_BYTES = 512;

    private final Class<T> messageType;
    private final int protocolVersion;
    private final ObjectMapper mapper;
    private final ObjectReader reader;
    private final ObjectWriter writer;

    /**
     * Creates a codec for the permitted records of {@code messageType}, with documents parsed by {@code
     * documentParser}.
     */
    public EnvelopeCodec(
            Class<T> messageType, int protocolVersion, Function<String, EnvironmentDocument> documentParser) {
        this.messageType = messageType;
        this.protocolVersion = protocolVersion;
        this.mapper = RecordMappers.create(new MessagePackFactory(), documentParser)
                .addMixIn(messageType, TypeNameWrapper.class)
                .setAnnotationIntrospector(new RecordsAsArrays())
                .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
                .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
        for (Class<?> type : messageType.getPermittedSubclasses()) {
            mapper.registerSubtypes(new NamedType(type, type.getSimpleName()));
        }
        this.reader = mapper.readerFor(messageType).without(StreamReadFeature.AUTO_CLOSE_SOURCE);
        this.writer = mapper.writerFor(messageType);
    }

    /**
     * Encodes {@code message} in its envelope.
     *
     * @throws CodecException if the message can't be encoded
     */
    public byte[] encode(T message) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(TYPICAL_MESSAGE_BYTES);
        try (JsonGenerator generator = mapper.createGenerator(out)) {
            generator.writeStartArray(message, 2);
            generator.writeNumber(protocolVersion);
            writer.writeValue(generator, message);
            generator.writeEndArray();
        } catch (IOException e) {
            throw new CodecException(CodecErrorCode.UNWRITABLE_VALUE, e.getMessage(), e);
        }
        return out.toByteArray();
    }

    /**
     * Decodes the message in {@code bytes}.
     *
     * @throws CodecException if the message is malformed, of an unknown type or of another protocol version
     */
    public T decode(byte[] bytes) {
        try (JsonParser parser = mapper.createParser(bytes)) {
            require(parser.nextToken() == JsonToken.START_ARRAY, "the envelope is not an array");
            require(parser.nextToken() == JsonToken.VALUE_NUMBER_INT, "the protocol version is missing");
            checkVersion(parser.getLongValue());
            require(parser.nextToken() == JsonToken.START_ARRAY, "the message is not an array of type name and fields");
            T message = reader.readValue(parser);
            require(message != null, "the message is null");
            require(parser.nextToken() == JsonToken.END_ARRAY, "the envelope has data after the message");
            require(parser.currentLocation().getByteOffset() == bytes.length, "there is data after the envelope");
            return message;
        } catch (InvalidTypeIdException e) {
            throw new CodecException(CodecErrorCode.UNKNOWN_MESSAGE, "type " + e.getTypeId(), e);
        } catch (CodecException e) {
            throw e;
        } catch (IOException | RuntimeException e) {
            throw new CodecException(
                    CodecErrorCode.MALFORMED_MESSAGE, messageType.getSimpleName() + ": " + e.getMessage(), e);
        }
    }

    private void checkVersion(long version) {
        if (version != protocolVersion) {
            String detail = "received version %d, expected %d".formatted(version, protocolVersion);
            throw new CodecException(CodecErrorCode.WRONG_PROTOCOL_VERSION, detail, null);
        }
    }

    private void require(boolean condition, String detail) {
        if (!condition) {
            throw new CodecException(
                    CodecErrorCode.MALFORMED_MESSAGE, messageType.getSimpleName() + ": " + detail, null);
        }
    }

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
    private interface TypeNameWrapper {}

    /** Writes every record as an array of its components. */
    private static final class RecordsAsArrays extends JacksonAnnotationIntrospector {
        private static final long serialVersionUID = 1L;

        @Override
        public JsonFormat.Value findFormat(Annotated annotated) {
            boolean isRecord = annotated instanceof AnnotatedClass
                    && annotated.getRawType().isRecord();
            return isRecord ? JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY) : super.findFormat(annotated);
        }
    }
}
