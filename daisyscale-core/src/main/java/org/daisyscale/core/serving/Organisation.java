package org.daisyscale.core.serving;

import java.util.Set;

/**
 * An organisation whose callers identify themselves with API keys. Immutable.
 *
 * @param name the name, unique in the table; sent to backend servers
 * @param apiKeys the digests of its API keys
 * @param priority the priority of its requests, which replaces that of the route; {@link #ROUTE_PRIORITY} to keep it
 * @param allowance how many of its requests may run
 */
public record Organisation(String name, Set<ApiKeyDigest> apiKeys, int priority, Allowance allowance) {
    /** The priority of an organisation whose requests have the priority of their route. */
    public static final int ROUTE_PRIORITY = -1;

    public Organisation {
        apiKeys = Set.copyOf(apiKeys);
    }

    /** Returns the priority of its requests on {@code route}; 0 is the highest. */
    public int priorityOn(Route route) {
        return priority == ROUTE_PRIORITY ? route.priority() : priority;
    }
}
