package org.daisyscale.core.internal.configuration;

import java.util.OptionalLong;
import java.util.UUID;

/** Extracts the timestamp from a caller's id, a UUID of version 7. Stateless. */
public final class IdTimestamp {
    private static final int VERSION = 7;
    private static final int TEXT_LENGTH = 36;
    private static final int TIME_SHIFT_BITS = 16;

    private IdTimestamp() {}

    /**
     * Returns the creation time of {@code id} by its creator's clock, in milliseconds since the epoch; empty if
     * malformed.
     */
    public static OptionalLong ofId(String id) {
        if (id.length() != TEXT_LENGTH) {
            return OptionalLong.empty();
        }
        try {
            UUID uuid = UUID.fromString(id);
            return uuid.version() == VERSION
                    ? OptionalLong.of(uuid.getMostSignificantBits() >>> TIME_SHIFT_BITS)
                    : OptionalLong.empty();
        } catch (IllegalArgumentException e) {
            return OptionalLong.empty();
        }
    }
}
