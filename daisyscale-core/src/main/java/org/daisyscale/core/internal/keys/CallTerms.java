package org.daisyscale.core.internal.keys;

/**
 * The terms of the calls of one step. Immutable.
 *
 * @param holdMillis the hold of grants, in milliseconds
 * @param sendBeforeNanos when a call that has not been sent must no longer be sent, by the monotonic clock
 */
record CallTerms(long holdMillis, long sendBeforeNanos) {}
