package org.daisyscale.router.internal.serving;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Computes a value that arrivals of the same request share, and that differs for others with high probability. */
final class RequestFingerprint {
    private static final int BODY_HASH_BITS = 32;

    private RequestFingerprint() {}

    /** Returns the fingerprint of a request by its method, its target with the query, and its body. */
    static long of(String method, String target, byte[] body) {
        long head = Hashing.farmHashFingerprint64()
                .hashString(method + ' ' + target, StandardCharsets.UTF_8)
                .asLong();
        long bodyHash = body.length == 0 ? 0 : Hashing.crc32c().hashBytes(body).padToLong();
        return head ^ (bodyHash << BODY_HASH_BITS) ^ body.length;
    }
}
