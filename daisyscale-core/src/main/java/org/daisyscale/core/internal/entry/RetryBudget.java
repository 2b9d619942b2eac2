package org.daisyscale.core.internal.entry;

import java.util.HashMap;
import java.util.Map;
import org.daisyscale.core.document.ServicePolicy;

/**
 * Limits the retries and hedges of each service to a percentage of its first attempts, so that retries don't overload a
 * failing service. The budget is a token bucket: a first attempt adds a fraction of a token, a retry or hedge takes
 * one. Not thread-safe; confined to the core thread.
 */
final class RetryBudget {
    private static final double MAX_TOKENS = 100;
    private static final double INITIAL_TOKENS = 10;
    private static final double PERCENT = 100;

    private final Map<String, Double> tokensByService = new HashMap<>();

    /** Adds the fraction of a token that one first attempt earns. */
    void recordFirstAttempt(ServicePolicy service) {
        double tokens = tokens(service) + service.retryBudgetPercent() / PERCENT;
        tokensByService.put(service.name(), Math.min(MAX_TOKENS, tokens));
    }

    /** Takes one token; returns false when less than one is left. */
    boolean trySpend(ServicePolicy service) {
        double tokens = tokens(service);
        if (tokens < 1) {
            return false;
        }
        tokensByService.put(service.name(), tokens - 1);
        return true;
    }

    private double tokens(ServicePolicy service) {
        double first = service.retryBudgetPercent() == 0 ? 0 : INITIAL_TOKENS;
        return tokensByService.getOrDefault(service.name(), first);
    }
}
