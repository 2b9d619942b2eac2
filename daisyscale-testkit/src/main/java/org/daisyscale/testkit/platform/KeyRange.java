package org.daisyscale.testkit.platform;

import java.nio.charset.StandardCharsets;
import java.util.Base64;

/**
 * Keys from {@code start} up to {@code end}. Keys are texts of one character a byte, so that they sort as bytes do.
 *
 * @param start the first key
 * @param end the key behind the last one; empty for the one key {@code start}
 */
record KeyRange(String start, String end) {
    private static final String UNBOUNDED = "\0";

    /** The range that two fields of a message in base64 name. */
    static KeyRange ofBase64(String start, String end) {
        return new KeyRange(decode(start), decode(end));
    }

    static String decode(String base64) {
        return new String(Base64.getDecoder().decode(base64), StandardCharsets.ISO_8859_1);
    }

    static String encode(String key) {
        return Base64.getEncoder().encodeToString(key.getBytes(StandardCharsets.ISO_8859_1));
    }

    boolean contains(String key) {
        if (end.isEmpty()) {
            return key.equals(start);
        }
        return key.compareTo(start) >= 0 && (end.equals(UNBOUNDED) || key.compareTo(end) < 0);
    }
}
