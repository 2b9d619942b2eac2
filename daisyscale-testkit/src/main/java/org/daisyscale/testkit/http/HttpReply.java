package org.daisyscale.testkit.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A whole answer. Immutable but for the array, which nobody changes.
 *
 * @param status the HTTP status
 * @param headers the headers beside content type and length
 * @param contentType the content type
 * @param body the body
 */
public record HttpReply(int status, Map<String, String> headers, String contentType, byte[] body) {

    public HttpReply {
        headers = Map.copyOf(headers);
    }

    /** A JSON answer. */
    public static HttpReply json(int status, Object value) {
        return new HttpReply(status, Map.of(), "application/json", Json.bytes(value));
    }

    /** An answer without a body. */
    public static HttpReply empty(int status) {
        return new HttpReply(status, Map.of(), "text/plain", new byte[0]);
    }

    /** An answer of plain text. */
    public static HttpReply text(int status, Map<String, String> headers, String text) {
        return new HttpReply(status, headers, "text/plain", text.getBytes(StandardCharsets.UTF_8));
    }
}
