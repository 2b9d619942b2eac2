package org.daisyscale.router.internal.platform;

import java.time.Duration;
import java.util.Optional;
import org.daisyscale.codec.CodecException;
import org.daisyscale.core.Event;
import org.daisyscale.core.error.DaisyscaleException;
import org.daisyscale.core.platform.PlatformService;
import org.daisyscale.core.platform.VersionedValue;
import org.daisyscale.router.internal.log.LogLimiter;
import org.daisyscale.router.internal.platform.VersionCache.Versions;
import org.daisyscale.router.internal.ring.Ring;
import org.tinylog.Logger;

/**
 * Reads values from the platform's service and publishes them as events. A value that cannot be decoded is not
 * published; {@link #reportFailure} logs it. Thread-safe.
 */
final class PlatformReader {
    private final PlatformService platform;
    private final VersionCache versionCache;
    private final Ring<Event> events;
    private final LogLimiter limiter = new LogLimiter(Duration.ofSeconds(10));

    PlatformReader(PlatformService platform, VersionCache versionCache, Ring<Event> events) {
        this.platform = platform;
        this.versionCache = versionCache;
        this.events = events;
    }

    /**
     * Reads and publishes the value of {@code type}.
     *
     * @throws PlatformException if the read fails or the value cannot be decoded
     */
    <T> Optional<T> read(StoredValueType<T> type) throws InterruptedException {
        VersionedValue raw = platform.get(type.key()).orElseGet(() -> new VersionedValue(type.key(), new byte[0], 0));
        return publish(type, raw);
    }

    /**
     * Decodes and publishes {@code raw}.
     *
     * @throws PlatformException if the value cannot be decoded
     */
    <T> Optional<T> publish(StoredValueType<T> type, VersionedValue raw) throws InterruptedException {
        Optional<T> value = decode(type, raw);
        long valueVersion = value.map(type.valueVersion()::applyAsLong).orElse(0L);
        versionCache.update(type.key(), new Versions(raw.version(), valueVersion));
        events.put(type.readEvent().apply(value));
        return value;
    }

    /** Logs {@code failure} and, unless it is about an invalid value, publishes that the service is unreachable. */
    void reportFailure(DaisyscaleException failure) throws InterruptedException {
        if (limiter.isDue(failure.errorCode().code())) {
            Logger.warn("platform-call-failed code={}: {}", failure.errorCode().code(), failure.getMessage());
        }
        if (failure.errorCode() != PlatformErrorCode.BAD_VALUE) {
            events.put(new Event.PlatformUnreachable(failure.getMessage()));
        }
    }

    private static <T> Optional<T> decode(StoredValueType<T> type, VersionedValue raw) {
        if (raw.version() == 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(type.decoder().apply(raw.bytes()));
        } catch (CodecException e) {
            throw new PlatformException(PlatformErrorCode.BAD_VALUE, type.key() + ": " + e.getMessage(), e);
        }
    }
}
