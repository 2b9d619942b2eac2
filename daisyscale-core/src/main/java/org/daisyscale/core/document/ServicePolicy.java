package org.daisyscale.core.document;

import java.util.List;

/**
 * Defines how one service is recognised and how its requests are handled. Immutable.
 *
 * @param name the service's name
 * @param jobs the job names and prefixes of the service; the longest match of all services takes precedence
 * @param ownership whether each key has one owner or any backend server may run any request
 * @param sliceCount the number of equal hash slices into which an exclusive service is divided initially; 0 for a
 *     pooled service
 * @param dispatchRangeCount the number of dispatch ranges that the service's backend servers are divided into
 * @param checksOrders whether the service's backend servers themselves check epochs and grants
 * @param retryBudgetPercent the retry budget for retries and hedges, as a percentage of first attempts
 * @param kinds the kinds of request, with unique names
 */
public record ServicePolicy(
        String name,
        List<JobRule> jobs,
        Ownership ownership,
        int sliceCount,
        int dispatchRangeCount,
        boolean checksOrders,
        int retryBudgetPercent,
        List<RequestKind> kinds) {

    public ServicePolicy {
        jobs = List.copyOf(jobs);
        kinds = List.copyOf(kinds);
    }

    /** Returns whether each key of the service has one owner. */
    public boolean isExclusive() {
        return ownership == Ownership.EXCLUSIVE;
    }
}
