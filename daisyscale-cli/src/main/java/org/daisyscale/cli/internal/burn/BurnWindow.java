package org.daisyscale.cli.internal.burn;

import java.time.Duration;
import java.util.List;

/**
 * A time window over which burn is computed. Immutable.
 *
 * @param name its name, such as {@code 1h}
 * @param lengthMillis its length, in milliseconds
 */
public record BurnWindow(String name, long lengthMillis) {
    private static final int TOLERANCE_DIVISOR = 10;
    private static final long MIN_TOLERANCE_MILLIS = 1_000;

    /** Returns the windows of the burn report. */
    public static List<BurnWindow> standard() {
        return List.of(
                of("5m", Duration.ofMinutes(5)),
                of("1h", Duration.ofHours(1)),
                of("6h", Duration.ofHours(6)),
                of("3d", Duration.ofDays(3)));
    }

    /** Returns a window of {@code length}. */
    public static BurnWindow of(String name, Duration length) {
        return new BurnWindow(name, length.toMillis());
    }

    /** Returns the maximum distance of a sample from the window's start to be used as its baseline, in milliseconds. */
    public long toleranceMillis() {
        return Math.max(MIN_TOLERANCE_MILLIS, lengthMillis / TOLERANCE_DIVISOR);
    }
}
