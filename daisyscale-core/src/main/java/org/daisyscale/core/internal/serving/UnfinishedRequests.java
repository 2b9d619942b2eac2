package org.daisyscale.core.internal.serving;

import org.daisyscale.core.error.CoreErrorCode;

/**
 * Decides how a request is rejected that has no response in time. Only a request that no server can have run is
 * rejected as not run. Stateless.
 */
final class UnfinishedRequests {
    /** Retry-after advice of a router that stops, in milliseconds: another router takes the request at once. */
    private static final long STOPPING_RETRY_AFTER_MILLIS = 20;

    private UnfinishedRequests() {}

    /** Returns the rejection of a request whose deadline has passed. */
    static Placement.Reject atDeadline(OpenRequest request) {
        if (request.currentServer() != null) {
            String serverId = request.currentServer().server().id();
            return new Placement.Reject(CoreErrorCode.TIMED_OUT, "server=" + serverId, 0);
        }
        return request.mayHaveRun()
                ? new Placement.Reject(CoreErrorCode.TIMED_OUT, "while waiting for a retry", 0)
                : new Placement.Reject(
                        CoreErrorCode.OVERLOADED,
                        "no server was available before the deadline",
                        RetryAfterJitter.MAX_MILLIS);
    }

    /** Returns the rejection of a request that is open when the process ends. */
    static Placement.Reject atStop(OpenRequest request) {
        return request.currentServer() != null || request.mayHaveRun()
                ? new Placement.Reject(CoreErrorCode.OUTCOME_UNKNOWN, "the router stops before the response", 0)
                : new Placement.Reject(
                        CoreErrorCode.STOPPING,
                        "the router stops before a server was available",
                        STOPPING_RETRY_AFTER_MILLIS);
    }
}
