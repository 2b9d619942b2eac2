package org.daisyscale.core.internal.serving;

import java.util.Optional;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.serving.RequestHead;
import org.daisyscale.core.serving.Route;
import org.daisyscale.core.serving.ServingAction;
import org.daisyscale.core.serving.ServingEvent;

/**
 * Decides whether a request that arrived is opened. What can't be served is rejected at once. Not thread-safe; confined
 * to the core thread.
 */
final class ArrivalChecks {
    /** Retry-after advice of a router that has just started, in milliseconds; by then it knows the fleet. */
    private static final long STARTUP_RETRY_AFTER_MILLIS = 500;
    /**
     * Retry-after advice while the configuration may be out of date, in milliseconds: the time within which a router
     * repeats a lost read of the store.
     */
    private static final long UNCERTAIN_RETRY_AFTER_MILLIS = 700;

    private final FleetView fleet;
    private final LostRequests lostRequests;
    private final RetryAfterJitter retryAfterJitter;

    ArrivalChecks(FleetView fleet, LostRequests lostRequests, RetryAfterJitter retryAfterJitter) {
        this.fleet = fleet;
        this.lostRequests = lostRequests;
        this.retryAfterJitter = retryAfterJitter;
    }

    ArrivalCheck check(ServingEvent.RequestArrived arrived, long nowNanos) {
        long requestId = arrived.requestId();
        RequestHead head = arrived.head();
        Optional<String> missing = fleet.missingKnowledge();
        if (missing.isPresent()) {
            return reject(requestId, CoreErrorCode.NOT_READY, missing.get(), STARTUP_RETRY_AFTER_MILLIS);
        }
        Optional<Route> route = fleet.routes().find(head.host(), head.path());
        if (route.isEmpty()) {
            String detail = "host=" + head.host() + " path=" + head.path();
            return rejectByConfiguration(
                    requestId, CoreErrorCode.NO_ROUTE, CoreErrorCode.ROUTE_UNCERTAIN, detail, nowNanos);
        }
        Optional<Caller> caller = fleet.organisations().identify(head, route.get());
        if (caller.isEmpty()) {
            String detail = "route=" + route.get().name() + " keyDigest=" + head.apiKey();
            return rejectByConfiguration(
                    requestId, CoreErrorCode.UNKNOWN_API_KEY, CoreErrorCode.API_KEY_UNCERTAIN, detail, nowNanos);
        }
        long waitedMillis = Math.max(0, (nowNanos - arrived.arrivedNanos()) / 1_000_000L);
        if (waitedMillis >= CallerTimeouts.maxUnreadMillis(head)) {
            String detail =
                    "the router is overloaded: it read the request %d ms after its arrival".formatted(waitedMillis);
            return reject(requestId, CoreErrorCode.OVERLOADED, detail, RetryAfterJitter.MAX_MILLIS);
        }
        long pauseMillis = lostRequests.pauseMillis(arrived.fingerprint(), nowNanos);
        if (pauseMillis > 0) {
            String detail =
                    "servers lost while they ran it: " + lostRequests.lossCount(arrived.fingerprint(), nowNanos);
            return reject(requestId, CoreErrorCode.SUSPECT_REQUEST, detail, pauseMillis);
        }
        return new ArrivalCheck.Accepted(route.get(), caller.get());
    }

    /**
     * Rejects a request that the configuration doesn't allow: as {@code certain} if the configuration is current, and
     * as {@code uncertain}, which isn't final, if operators may have written a newer one.
     */
    private ArrivalCheck rejectByConfiguration(
            long requestId, CoreErrorCode certain, CoreErrorCode uncertain, String detail, long nowNanos) {
        ConfigurationStatus configuration = fleet.configuration();
        boolean isCurrent = configuration.isCurrent(nowNanos);
        return new ArrivalCheck.Rejected(new ServingAction.Reject(
                requestId,
                isCurrent ? certain : uncertain,
                detail,
                isCurrent ? 0 : retryAfterJitter.add(UNCERTAIN_RETRY_AFTER_MILLIS),
                configuration.describe(nowNanos)));
    }

    private ArrivalCheck reject(long requestId, CoreErrorCode reason, String detail, long retryAfterMillis) {
        return new ArrivalCheck.Rejected(
                new ServingAction.Reject(requestId, reason, detail, retryAfterJitter.add(retryAfterMillis)));
    }
}
