package org.daisyscale.core.internal.entry;

/**
 * A permit request to a dispatcher that is not answered yet. Immutable.
 *
 * @param permitRequestId the permit request's id
 * @param dispatcher the dispatcher's router
 * @param range the dispatch range
 * @param sentNanos when it was sent, on the monotonic clock, in nanoseconds
 * @param isHedge whether the permit is for a hedge
 */
record PendingPermitRequest(String permitRequestId, String dispatcher, int range, long sentNanos, boolean isHedge) {}
