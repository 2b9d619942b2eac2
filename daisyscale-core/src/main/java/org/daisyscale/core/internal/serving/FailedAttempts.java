package org.daisyscale.core.internal.serving;

import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.serving.AttemptOutcome;
import org.daisyscale.core.serving.ServingEvent;

/** Decides how a request is rejected after its last attempt failed. Stateless. */
final class FailedAttempts {
    /** Retry-after advice, in milliseconds; the jitter that is added spreads the callers. */
    private static final long RETRY_AFTER_MILLIS = 150;
    /** Retry-after advice after a server with room shed the request, in milliseconds: waiting does not help. */
    private static final long SHED_RETRY_AFTER_MILLIS = 20;

    private FailedAttempts() {}

    /** Returns the rejection of {@code request} after the attempt {@code ended} at the server {@code serverId}. */
    static Placement.Reject rejection(
            OpenRequest request, ServingEvent.AttemptEnded ended, String serverId, boolean isKeyed) {
        String detail = "server=" + serverId + " outcome=" + ended.outcome() + " attempts=" + request.attemptCount();
        if (ended.outcome() == AttemptOutcome.EXPIRED) {
            return new Placement.Reject(CoreErrorCode.OVERLOADED, detail, RETRY_AFTER_MILLIS);
        }
        long usualMillis = RetryPolicy.isShedAtRandom(ended) ? SHED_RETRY_AFTER_MILLIS : RETRY_AFTER_MILLIS;
        long retryAfterMillis = isKeyed ? Math.max(usualMillis, ended.notice().pauseMillis()) : usualMillis;
        return new Placement.Reject(CoreErrorCode.REFUSED_BY_SERVER, detail, retryAfterMillis);
    }
}
