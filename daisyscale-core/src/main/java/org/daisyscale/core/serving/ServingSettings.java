package org.daisyscale.core.serving;

import org.daisyscale.core.quota.QuotaSettings;

/**
 * The fixed settings of the request path. Immutable.
 *
 * @param routerId this router's id
 * @param dataCentre this router's data centre
 * @param randomSeed the seed of all random choices
 * @param coldBurstFactor the factor by which a cold server's requests in one second may exceed its rate
 * @param coldSlackRequests the number of requests allowed in addition
 * @param retryBudgetRatio the maximum ratio of retries to requests of a service, over all routers
 * @param retryBudgetSlackRequests the number of retries allowed in addition per window, over all routers
 * @param retryBudgetWindowMillis the length of the retry budget window, in milliseconds
 * @param drainMillis how long a leaving server may still get requests, in milliseconds
 * @param evacuateMillis how long servers of an evacuated data centre may still get requests, in milliseconds
 * @param quota the settings of the allowances of organisations
 */
public record ServingSettings(
        String routerId,
        String dataCentre,
        long randomSeed,
        double coldBurstFactor,
        double coldSlackRequests,
        double retryBudgetRatio,
        double retryBudgetSlackRequests,
        long retryBudgetWindowMillis,
        long drainMillis,
        long evacuateMillis,
        QuotaSettings quota) {

    /** Creates the settings of a deployment that states nothing about allowances. */
    public ServingSettings(
            String routerId,
            String dataCentre,
            long randomSeed,
            double coldBurstFactor,
            double coldSlackRequests,
            double retryBudgetRatio,
            double retryBudgetSlackRequests,
            long retryBudgetWindowMillis,
            long drainMillis,
            long evacuateMillis) {
        this(
                routerId,
                dataCentre,
                randomSeed,
                coldBurstFactor,
                coldSlackRequests,
                retryBudgetRatio,
                retryBudgetSlackRequests,
                retryBudgetWindowMillis,
                drainMillis,
                evacuateMillis,
                QuotaSettings.DEFAULT);
    }
}
