package org.daisyscale.router.internal.http;

/**
 * A complete answer to an HTTP call. Immutable, provided that nobody modifies the body array.
 *
 * @param status the status code
 * @param body the complete body
 */
public record HttpReply(int status, byte[] body) {
    private static final int FIRST_REDIRECT = 300;
    private static final int FIRST_SUCCESS = 200;

    /** Returns whether the status is 2xx. */
    public boolean isSuccess() {
        return FIRST_SUCCESS <= status && status < FIRST_REDIRECT;
    }
}
