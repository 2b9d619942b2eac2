package org.daisyscale.router.internal.operator;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * The bearer token that operators must send. Compared in constant time to resist timing attacks, and never printed.
 * Immutable.
 */
public final class OperatorToken {
    private static final String SCHEME = "Bearer ";

    private final byte[] expected;

    /** Creates a token with the text {@code token}. */
    public OperatorToken(String token) {
        this.expected = token.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns whether the value of an Authorization header, null if the header is missing, carries this token. */
    public boolean matches(String authorization) {
        if (authorization == null || !authorization.startsWith(SCHEME)) {
            return false;
        }
        byte[] given = authorization.substring(SCHEME.length()).getBytes(StandardCharsets.UTF_8);
        return MessageDigest.isEqual(expected, given);
    }

    @Override
    public String toString() {
        return "OperatorToken[hidden]";
    }
}
