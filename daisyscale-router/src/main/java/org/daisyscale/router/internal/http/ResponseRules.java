package org.daisyscale.router.internal.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Rules that every response of another process must meet, whichever HTTP client reads it. Stateless.
 */
public final class ResponseRules {
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;
    private static final int STATUS_DIGITS = 3;
    /**
     * Largest body of a request that reaches the server together with its head, in bytes: both fit into one segment.
     */
    private static final int MAX_BODY_BYTES_WITH_HEAD = 1_024;

    private ResponseRules() {}

    /** Returns whether {@code status} is a status of HTTP: 100 to 599. */
    public static boolean isStatus(int status) {
        return status >= MIN_STATUS && status <= MAX_STATUS;
    }

    /** Returns whether {@code text} of a status line is a status of HTTP: three digits from 100 to 599. */
    public static boolean isStatus(String text) {
        return text.length() == STATUS_DIGITS
                && text.chars().allMatch(character -> character >= '0' && character <= '9')
                && isStatus(Integer.parseInt(text));
    }

    /** Returns whether a response with a body and these headers ends only when its connection does. */
    public static boolean isEndedByClose(HttpHeaders headers) {
        return !headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                && !headers.containsValue(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED, true);
    }

    /**
     * Returns whether the end of a connection proves that a response which ends with it is whole. Behind a longer
     * request it doesn't: a server that closes before it has read the whole request resets the connection, and the end
     * may arrive before the reset.
     *
     * @param requestBodyBytes the length of the request's body, in bytes
     */
    public static boolean isWholeAtClose(int requestBodyBytes) {
        return requestBodyBytes <= MAX_BODY_BYTES_WITH_HEAD;
    }
}
