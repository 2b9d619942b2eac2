package org.daisyscale.router.internal.platform;

import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import org.daisyscale.codec.json.JsonCodec;
import org.daisyscale.core.Event;
import org.daisyscale.core.document.Configuration;
import org.daisyscale.core.ownership.OwnershipMap;
import org.daisyscale.core.platform.WriteOutcome;

/**
 * Describes a type of value in the platform's service: the map or the configuration. Immutable.
 *
 * @param <T> the Java type of the value
 * @param key the key of the value
 * @param decoder decodes the stored bytes
 * @param valueVersion returns the version or revision in the value itself, which rises by one with each write
 * @param writeId returns the id of the write that stored the value
 * @param readEvent creates the event after a read; its argument is empty when there is no value
 * @param writeEvent creates the event after a write from the write id and the outcome
 */
record StoredValueType<T>(
        String key,
        Function<byte[], T> decoder,
        ToLongFunction<T> valueVersion,
        Function<T, String> writeId,
        Function<Optional<T>, Event> readEvent,
        BiFunction<String, WriteOutcome, Event> writeEvent) {

    static StoredValueType<OwnershipMap> map(PlatformKeys keys, JsonCodec codec) {
        return new StoredValueType<>(
                keys.map(),
                codec::readMap,
                OwnershipMap::version,
                OwnershipMap::writeId,
                map -> new Event.MapRead(map.orElseGet(OwnershipMap::empty)),
                Event.MapWriteEnded::new);
    }

    static StoredValueType<Configuration> configuration(PlatformKeys keys, JsonCodec codec) {
        return new StoredValueType<>(
                keys.configuration(),
                codec::readConfiguration,
                Configuration::revision,
                Configuration::writeId,
                configuration -> new Event.ConfigurationRead(configuration.orElse(null)),
                Event.ConfigurationWriteEnded::new);
    }
}
