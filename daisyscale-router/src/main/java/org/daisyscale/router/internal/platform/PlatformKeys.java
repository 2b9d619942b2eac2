package org.daisyscale.router.internal.platform;

import java.util.List;

/**
 * The keys of one region of one environment in the platform's service. Immutable.
 *
 * @param map the key of the region's map
 * @param configuration the key of the environment's configuration
 * @param control the key of the region's control lease
 */
public record PlatformKeys(String map, String configuration, String control) {

    /** Returns the keys of {@code region} and {@code environment}. */
    public static PlatformKeys of(String region, String environment) {
        return new PlatformKeys(
                "daisyscale/%s/map".formatted(region),
                "daisyscale/%s/configuration".formatted(environment),
                "daisyscale/%s/control".formatted(region));
    }

    List<String> watched() {
        return List.of(map, configuration);
    }
}
