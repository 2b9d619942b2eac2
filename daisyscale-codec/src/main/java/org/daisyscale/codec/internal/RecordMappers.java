package org.daisyscale.codec.internal;

import com.fasterxml.jackson.annotation.JsonAutoDetect.Visibility;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.deser.std.StdDelegatingDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdDelegatingSerializer;
import com.fasterxml.jackson.databind.util.StdConverter;
import java.util.function.Function;
import org.daisyscale.core.document.Configuration;
import org.daisyscale.core.document.EnvironmentDocument;

/**
 * Creates the object mappers of the codecs. A record's components are written under their own names; methods with
 * derived values are not written, and unknown fields are ignored. Stateless and thread-safe.
 */
public final class RecordMappers {

    private RecordMappers() {}

    /** Creates a mapper for {@code format} that parses a configuration's document with {@code documentParser}. */
    public static ObjectMapper create(JsonFactory format, Function<String, EnvironmentDocument> documentParser) {
        return new ObjectMapper(format)
                .setVisibility(PropertyAccessor.ALL, Visibility.NONE)
                .setVisibility(PropertyAccessor.FIELD, Visibility.ANY)
                .setVisibility(PropertyAccessor.CREATOR, Visibility.ANY)
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .disable(SerializationFeature.FAIL_ON_EMPTY_BEANS)
                .registerModule(configurationModule(documentParser));
    }

    private static SimpleModule configurationModule(Function<String, EnvironmentDocument> documentParser) {
        return new SimpleModule("configuration")
                .addSerializer(Configuration.class, new StdDelegatingSerializer(Configuration.class, new ToStored()))
                .addDeserializer(Configuration.class, new StdDelegatingDeserializer<>(new FromStored(documentParser)));
    }

    private static final class ToStored extends StdConverter<Configuration, StoredConfiguration> {

        @Override
        public StoredConfiguration convert(Configuration configuration) {
            return StoredConfiguration.of(configuration);
        }
    }

    private static final class FromStored extends StdConverter<StoredConfiguration, Configuration> {
        private final Function<String, EnvironmentDocument> documentParser;

        FromStored(Function<String, EnvironmentDocument> documentParser) {
            this.documentParser = documentParser;
        }

        @Override
        public Configuration convert(StoredConfiguration stored) {
            return stored.toConfiguration(documentParser);
        }
    }
}
