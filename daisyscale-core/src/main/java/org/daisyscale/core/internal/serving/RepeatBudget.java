package org.daisyscale.core.internal.serving;

import java.util.HashMap;
import java.util.Map;
import org.daisyscale.core.serving.ServingSettings;

/**
 * Bounds the repeats of each service to this router's share of what all routers may send together in a window. Answers
 * the load of failing servers, which repeats would multiply. Owned by the thread that owns the core.
 */
final class RepeatBudget {
    /** The part of the bound that is used, since windows and views of the fleet differ. A guard of one third. */
    private static final double USED_PART = 0.66;

    private final ServingSettings settings;
    private final Map<String, SlidingCount> requestsByService = new HashMap<>();
    private final Map<String, SlidingCount> repeatsByService = new HashMap<>();

    RepeatBudget(ServingSettings settings) {
        this.settings = settings;
    }

    void noteRequest(String service, long nowNanos) {
        of(requestsByService, service).add(nowNanos);
    }

    /**
     * Spends one repeat; false when this router's share is used up: its part of the repeats that are free, and what its
     * own requests allow.
     */
    boolean spend(String service, double freePart, long nowNanos) {
        SlidingCount repeats = of(repeatsByService, service);
        double allowed =
                settings.retryBudgetRatio() * of(requestsByService, service).count(nowNanos)
                        + settings.retryBudgetSlackRequests() * freePart;
        if (repeats.count(nowNanos) + 1 > USED_PART * allowed) {
            return false;
        }
        repeats.add(nowNanos);
        return true;
    }

    private SlidingCount of(Map<String, SlidingCount> counts, String service) {
        return counts.computeIfAbsent(
                service, name -> new SlidingCount(settings.retryBudgetWindowMillis() * 1_000_000L));
    }
}
