package org.daisyscale.testkit.backend;

import com.google.common.hash.Hashing;

/** The digest that answers and records carry. Stateless and safe for use by any thread. */
public final class Digest {

    private Digest() {}

    /** The SHA-256 of {@code body} in hexadecimal, or an empty text for an empty body. */
    public static String sha256(byte[] body) {
        return body.length == 0 ? "" : Hashing.sha256().hashBytes(body).toString();
    }
}
