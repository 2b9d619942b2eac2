package org.daisyscale.core.platform;

/** The outcome of a write to the platform's service, as far as the caller can know. */
public enum WriteOutcome {
    /** The write took effect. */
    ACCEPTED,
    /** The write had no effect: the value had another version. */
    REFUSED,
    /** The answer was lost; the write may have taken effect. */
    UNKNOWN
}
