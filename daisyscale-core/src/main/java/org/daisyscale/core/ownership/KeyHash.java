package org.daisyscale.core.ownership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Hashes keys into the space that slices divide. Stateless and thread-safe. */
public final class KeyHash {
    /** The number of hashes; a hash lies in {@code [0, SPACE)}. */
    public static final long SPACE = 1L << 32;

    private KeyHash() {}

    /** Returns the hash of {@code key}, which is the same for all versions and machines. */
    public static long of(String key) {
        return Integer.toUnsignedLong(Hashing.murmur3_32_fixed()
                .hashString(key, StandardCharsets.UTF_8)
                .asInt());
    }

    /** Returns the index in {@code [0, buckets)} that {@code name} belongs to. */
    public static int bucket(String name, int buckets) {
        return (int) (of(name) % buckets);
    }
}
