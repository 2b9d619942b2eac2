package org.daisyscale.testkit.backend;

import java.util.SplittableRandom;

/**
 * Seeded moments in which a server is slow: time is cut into windows, and each window straggles with a chance. The
 * same seed gives the same windows. Immutable.
 *
 * @param percent the chance of a window to straggle, in percent
 * @param windowMillis the length of a window, in milliseconds
 * @param factor what service times are multiplied by in such a window
 */
public record StragglerSettings(double percent, long windowMillis, double factor) {

    /** No straggling. */
    public static StragglerSettings none() {
        return new StragglerSettings(0, 1_000, 1);
    }

    double factorAt(long seed, long sinceStartMillis) {
        long window = sinceStartMillis / windowMillis;
        double draw = new SplittableRandom(seed * 31 + window).nextDouble() * 100;
        return draw < percent ? factor : 1;
    }
}
