package org.daisyscale.router.internal.serving;

import java.security.SecureRandom;
import java.util.HexFormat;

/** Creates secrets by which routers recognise each other. Stateless. */
final class RandomSecret {
    private static final int BYTES = 24;

    private RandomSecret() {}

    /** Returns a new secret in hexadecimal digits. */
    static String create() {
        byte[] secret = new byte[BYTES];
        new SecureRandom().nextBytes(secret);
        return HexFormat.of().formatHex(secret);
    }
}
