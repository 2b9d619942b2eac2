package org.daisyscale.core.internal.dispatch;

import org.daisyscale.core.request.Permit;

/**
 * A permit that was issued and not yet returned. Immutable.
 *
 * @param request the request that the permit was issued for
 * @param permit the permit
 * @param sliceStartHash the first hash of the key's slice; -1 for pooled services
 * @param issuedNanos when the permit was issued, on the monotonic clock, in nanoseconds
 * @param expiresNanos when the order has ended, even if unreported, on the monotonic clock, in nanoseconds
 */
record OutstandingPermit(
        WaitingRequest request, Permit permit, long sliceStartHash, long issuedNanos, long expiresNanos) {}
