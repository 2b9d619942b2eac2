package org.daisyscale.router.internal.platform;

import org.daisyscale.codec.json.JsonCodec;
import org.daisyscale.core.Event;
import org.daisyscale.core.document.Configuration;
import org.daisyscale.core.ownership.OwnershipMap;
import org.daisyscale.core.platform.PlatformService;
import org.daisyscale.router.internal.ring.Ring;

/**
 * The objects that the platform's duties share. Immutable; its components are thread-safe.
 *
 * @param platform the platform's service
 * @param codec the codec of the stored values
 * @param keys the keys of the stored values and of the control lease
 * @param versionCache the newest seen versions of the stored values
 * @param reader reads values and publishes them as events
 * @param mapType the type of the map
 * @param configurationType the type of the configuration
 * @param events the event ring of the core
 */
record PlatformContext(
        PlatformService platform,
        JsonCodec codec,
        PlatformKeys keys,
        VersionCache versionCache,
        PlatformReader reader,
        StoredValueType<OwnershipMap> mapType,
        StoredValueType<Configuration> configurationType,
        Ring<Event> events) {

    static PlatformContext of(PlatformService platform, JsonCodec codec, PlatformKeys keys, Ring<Event> events) {
        VersionCache versionCache = new VersionCache();
        return new PlatformContext(
                platform,
                codec,
                keys,
                versionCache,
                new PlatformReader(platform, versionCache, events),
                StoredValueType.map(keys, codec),
                StoredValueType.configuration(keys, codec),
                events);
    }
}
