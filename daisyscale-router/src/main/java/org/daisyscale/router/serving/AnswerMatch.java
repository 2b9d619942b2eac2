package org.daisyscale.router.serving;

/** Which request an answer says it is for. */
public enum AnswerMatch {
    /** The request that waits for it. */
    THIS_REQUEST,
    /** Another one. */
    ANOTHER_REQUEST,
    /** It doesn't say; it can be trusted only where no earlier answer could have been written again. */
    UNNAMED
}
