package org.daisyscale.testkit.backend;

/** How a run stands. */
public enum RunOutcome {
    /** It still ran when the record was written. */
    RUNNING,
    /** It was answered. */
    ANSWERED,
    /** It was cancelled while it ran. */
    CANCELLED,
    /** It ended when the server fell over. */
    FAILED
}
