package org.daisyscale.testkit.load;

import java.util.SplittableRandom;
import java.util.UUID;

/** Time-ordered ids of RFC 9562, version 7. Stateless and safe for use by any thread. */
public final class UuidV7 {
    private static final int RANDOM_A_BITS = 12;
    private static final int TIME_SHIFT = 16;
    private static final long VERSION = 0x7000L;
    private static final long VARIANT = 0x8000_0000_0000_0000L;
    private static final long VARIANT_MASK = 0x3FFF_FFFF_FFFF_FFFFL;

    private UuidV7() {}

    /** A new id of now, with the rest from {@code random}. */
    public static String next(SplittableRandom random) {
        long high = (System.currentTimeMillis() << TIME_SHIFT) | VERSION | random.nextLong(1L << RANDOM_A_BITS);
        long low = (random.nextLong() & VARIANT_MASK) | VARIANT;
        return new UUID(high, low).toString();
    }
}
