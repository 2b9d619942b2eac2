package org.daisyscale.core.internal.serving;

import java.util.HashMap;
import java.util.Map;
import org.daisyscale.core.serving.Route;

/**
 * Tracks the recent mean size of the responses of each route, so that large responses cross to another data centre only
 * if that spares callers a longer wait. Not thread-safe; confined to the core thread.
 */
final class ResponseSizes {
    /** Weight of one response in the mean; about the last twenty responses count. */
    private static final double SAMPLE_WEIGHT = 0.05;

    private final Map<String, Double> meanBytesByRoute = new HashMap<>();

    /** Records a response of {@code bytes} bytes. */
    void record(Route route, long bytes) {
        meanBytesByRoute.merge(route.name(), (double) bytes, (mean, sample) -> mean + SAMPLE_WEIGHT * (sample - mean));
    }

    /** Returns the recent mean size of a response, in bytes; 0 before the first one. */
    double meanBytes(Route route) {
        return meanBytesByRoute.getOrDefault(route.name(), 0.0);
    }
}
