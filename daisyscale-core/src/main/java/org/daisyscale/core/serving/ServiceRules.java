package org.daisyscale.core.serving;

/**
 * The operator's configuration of one service. Immutable.
 *
 * @param name the service's name
 * @param healthPath the path of the health check of its servers; empty for none
 * @param maxConnections the maximum number of connections that a server accepts from all routers together
 * @param coldStartMillis how long a server stays cold after its start, in milliseconds
 * @param coldRequestsPerSecond the request rate that a cold server tolerates
 * @param isSharded whether servers own keys exclusively
 * @param warmupMillis how long keys that a server took over without a handover are slow, in milliseconds
 */
public record ServiceRules(
        String name,
        String healthPath,
        int maxConnections,
        long coldStartMillis,
        double coldRequestsPerSecond,
        boolean isSharded,
        long warmupMillis) {}
