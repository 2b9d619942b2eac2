package org.daisyscale.router.serving;

/** Which request a response says it belongs to. */
public enum AnswerMatch {
    /** The request that waits for the response. */
    THIS_REQUEST,
    /** Another request. */
    ANOTHER_REQUEST,
    /** The response does not say; it can be trusted only where no earlier response can have been sent twice. */
    UNNAMED
}
