package org.daisyscale.testkit.load;

import java.util.Map;

/**
 * What a run measured. Latencies count from the intended start. Immutable.
 *
 * @param sentCount the requests sent
 * @param notSentCount the requests that the limit of waiting requests kept back; a run with any is not valid
 * @param wrongCount the answers that belong to another request
 * @param durationMillis from the first request to the last end, in milliseconds
 * @param outcomes how requests ended, with status and code, and how often
 * @param kinds the latencies by kind, and under {@code all} of all requests, answered ones only
 * @param refusals the latency of requests that ended as not run
 * @param startLagMaxMillis how late the latest request began against its intended start, in milliseconds
 */
public record LoadSummary(
        long sentCount,
        long notSentCount,
        long wrongCount,
        long durationMillis,
        Map<String, Long> outcomes,
        Map<String, Latency> kinds,
        Latency refusals,
        double startLagMaxMillis) {

    /**
     * A distribution of latencies in milliseconds. Immutable.
     *
     * @param count how many
     * @param p50Millis the median
     * @param p99Millis 99 in 100 are below
     * @param p999Millis 999 in 1,000 are below
     * @param maxMillis the largest
     */
    public record Latency(long count, double p50Millis, double p99Millis, double p999Millis, double maxMillis) {}
}
