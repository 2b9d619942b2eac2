package org.daisyscale.testkit.load;

/** How one attempt of a caller ended. */
public enum AttemptEnd {
    /** A server's answer came. */
    ANSWERED,
    /** The router or server says that nothing ran. */
    NOT_RUN,
    /** The router says that it can't know. */
    UNKNOWN,
    /** Nobody listens at the address. */
    REFUSED_CONNECTION,
    /** The connection ended without a whole answer. */
    BROKEN_CONNECTION,
    /** No answer came in the caller's time. */
    TIMED_OUT,
    /** An answer came that says nothing of the outcome. */
    UNLABELLED
}
