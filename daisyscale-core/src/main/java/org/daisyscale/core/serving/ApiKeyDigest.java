package org.daisyscale.core.serving;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * The first 128 bits of the SHA-256 digest of an API key. Routers keep and exchange digests only, so that no key can
 * reach a log, a trace or a backend server. Immutable.
 *
 * @param hex the digest in lower-case hexadecimal digits; empty for {@link #NONE}
 */
public record ApiKeyDigest(String hex) {
    /** Stands for a request without exactly one API key; no organisation holds it. */
    public static final ApiKeyDigest NONE = new ApiKeyDigest("");

    private static final int DIGITS = 32;
    private static final int SHORT_DIGITS = 8;

    /** Returns the digest of {@code key}. */
    public static ApiKeyDigest of(String key) {
        String digest = Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
        return new ApiKeyDigest(digest.substring(0, DIGITS));
    }

    /** Returns the first 8 digits, for log lines. */
    @Override
    public String toString() {
        return hex.isEmpty() ? "none" : hex.substring(0, Math.min(SHORT_DIGITS, hex.length()));
    }
}
