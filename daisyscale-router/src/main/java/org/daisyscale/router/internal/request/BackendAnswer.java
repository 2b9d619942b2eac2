package org.daisyscale.router.internal.request;

import java.util.List;

/**
 * A complete answer of a backend server. Immutable, provided that nobody modifies the body array.
 *
 * @param status the HTTP status
 * @param headers the end-to-end headers
 * @param body the complete body
 */
public record BackendAnswer(int status, List<HeaderField> headers, byte[] body) {

    public BackendAnswer {
        headers = List.copyOf(headers);
    }
}
