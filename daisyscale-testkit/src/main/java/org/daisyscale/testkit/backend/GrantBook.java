package org.daisyscale.testkit.backend;

import java.util.List;
import org.daisyscale.core.ownership.Grant;

/** The grant that a server holds, and the highest map version that it has seen. Not safe for use by several threads. */
final class GrantBook {
    private long highestMapVersion;
    private Grant grant = new Grant("", "", 0, 0, List.of());

    long highestMapVersion() {
        return highestMapVersion;
    }

    /** Takes {@code offered} unless a higher map version was seen. */
    boolean accept(Grant offered) {
        if (offered.mapVersion() < highestMapVersion) {
            return false;
        }
        highestMapVersion = offered.mapVersion();
        grant = offered;
        return true;
    }

    /** Whether the grant has lapsed at {@code nowMillis} on the server's clock. */
    boolean isLapsed(long nowMillis) {
        return nowMillis >= grant.expiresAtServerMillis();
    }

    /** When the grant lapses, on the server's clock, in milliseconds. */
    long expiresAtMillis() {
        return grant.expiresAtServerMillis();
    }

    /** Whether the grant covers {@code keyHash} at {@code epoch} at {@code nowMillis} on the server's clock. */
    boolean covers(long keyHash, long epoch, long nowMillis) {
        return nowMillis < grant.expiresAtServerMillis()
                && grant.slices().stream()
                        .anyMatch(slice ->
                                slice.startHash() <= keyHash && keyHash < slice.endHash() && slice.epoch() == epoch);
    }
}
