package org.daisyscale.core.internal.serving;

import org.daisyscale.core.serving.ServingAction;

/** Creates log lines about requests to cold servers. Stateless. */
final class ColdStartReports {

    private ColdStartReports() {}

    /** Returns the log line for {@code request}, which is sent to {@code view}'s server now. */
    static ServingAction.Report create(OpenRequest request, ServerView view, FleetView fleet, long nowNanos) {
        String detail = "requestId=%s server=%s address=%s:%d sentBefore=%d share=%d routers=%d coldLeftMillis=%d"
                .formatted(
                        request.head().logId(),
                        view.server().id(),
                        view.server().host(),
                        view.server().port(),
                        view.coldStartLimiter().sentCount(nowNanos),
                        fleet.coldQuota(view, nowNanos),
                        fleet.routerCount(nowNanos),
                        view.coldStartLimiter().coldLeftMillis(nowNanos));
        return new ServingAction.Report("cold-server-request", detail);
    }
}
