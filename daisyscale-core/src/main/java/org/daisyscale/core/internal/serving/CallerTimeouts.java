package org.daisyscale.core.internal.serving;

import org.daisyscale.core.serving.RequestHead;

/** Computes how long callers wait. Stateless. */
final class CallerTimeouts {
    /** Timeout of a caller that states none, in milliseconds; the route's timeout is usually shorter. */
    private static final long DEFAULT_MILLIS = 10_000;
    /** Time after which callers give up a request that is not read yet, in milliseconds; fixed by the platform. */
    private static final double MAX_UNREAD_MILLIS = 1_000;
    /** Fraction of their timeout after which callers give up a request that is not read yet; fixed by the platform. */
    private static final double MAX_UNREAD_FRACTION = 1.0 / 3;

    private CallerTimeouts() {}

    /** Returns how long the caller waits for an answer, in milliseconds. */
    static long timeoutMillis(RequestHead head) {
        return head.timeLeftMillis() > 0 ? head.timeLeftMillis() : DEFAULT_MILLIS;
    }

    /** Returns the time after which the caller gives up a request that is not read yet, in milliseconds. */
    static double maxUnreadMillis(RequestHead head) {
        return Math.min(MAX_UNREAD_MILLIS, timeoutMillis(head) * MAX_UNREAD_FRACTION);
    }
}
