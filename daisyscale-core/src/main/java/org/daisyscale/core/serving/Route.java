package org.daisyscale.core.serving;

import java.util.List;

/**
 * Defines how requests with one host and path prefix are handled. Immutable.
 *
 * @param name the name, unique in the table
 * @param host the value of the Host header
 * @param pathPrefix the path prefix; begins and ends with a slash
 * @param isIdempotent whether a request may run more than once
 * @param timeoutMillis the maximum time until a caller gets an answer, in milliseconds
 * @param targetLatencyMillis the latency objective, in milliseconds
 * @param priority the priority; 0 is the highest
 * @param maxBackends the maximum number of backend servers that one request may be sent to
 * @param services the services that get the requests, in proportion to their weights; never empty
 * @param isPublic whether requests need no API key where the configuration has organisations
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        boolean isIdempotent,
        long timeoutMillis,
        long targetLatencyMillis,
        int priority,
        int maxBackends,
        List<WeightedService> services,
        boolean isPublic) {

    public Route {
        services = List.copyOf(services);
    }

    /** Creates a route that isn't public. */
    public Route(
            String name,
            String host,
            String pathPrefix,
            boolean isIdempotent,
            long timeoutMillis,
            long targetLatencyMillis,
            int priority,
            int maxBackends,
            List<WeightedService> services) {
        this(
                name,
                host,
                pathPrefix,
                isIdempotent,
                timeoutMillis,
                targetLatencyMillis,
                priority,
                maxBackends,
                services,
                false);
    }

    /**
     * A service and its weight among the services of a route. Immutable.
     *
     * @param service the service's name
     * @param weight the fraction of requests, relative to the other weights of the route
     */
    public record WeightedService(String service, double weight) {}
}
