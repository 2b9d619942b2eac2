package org.daisyscale.core.internal.serving;

import java.util.HashMap;
import java.util.Map;
import org.daisyscale.core.serving.ServingSettings;

/**
 * Limits the retries of each service to this router's fraction of the retry budget that all routers share per window.
 * Without a limit, retries would multiply the load on failing servers. Not thread-safe; confined to the core thread.
 */
final class RetryBudget {
    /** Fraction of the budget that is used; the margin of one third covers differing windows and views of the fleet. */
    private static final double USED_FRACTION = 0.66;

    private final ServingSettings settings;
    private final Map<String, SlidingWindowCounter> requestsByService = new HashMap<>();
    private final Map<String, SlidingWindowCounter> retriesByService = new HashMap<>();

    RetryBudget(ServingSettings settings) {
        this.settings = settings;
    }

    void recordRequest(String service, long nowNanos) {
        counter(requestsByService, service).add(nowNanos);
    }

    /**
     * Spends one retry and returns true, or returns false when this router's budget is exhausted. The budget is a ratio
     * of the router's own requests plus {@code slackFraction} of the fixed slack that all routers share.
     */
    boolean trySpend(String service, double slackFraction, long nowNanos) {
        SlidingWindowCounter retries = counter(retriesByService, service);
        double allowed = settings.retryBudgetRatio()
                        * counter(requestsByService, service).count(nowNanos)
                + settings.retryBudgetSlackRequests() * slackFraction;
        if (retries.count(nowNanos) + 1 > USED_FRACTION * allowed) {
            return false;
        }
        retries.add(nowNanos);
        return true;
    }

    private SlidingWindowCounter counter(Map<String, SlidingWindowCounter> counts, String service) {
        return counts.computeIfAbsent(
                service, name -> new SlidingWindowCounter(settings.retryBudgetWindowMillis() * 1_000_000L));
    }
}
