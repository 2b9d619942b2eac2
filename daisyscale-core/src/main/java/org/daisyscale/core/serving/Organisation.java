package org.daisyscale.core.serving;

import java.util.OptionalInt;
import java.util.Set;

/**
 * An organisation whose callers identify themselves with API keys. Immutable.
 *
 * @param name the name, unique in the table; sent to backend servers
 * @param apiKeys the digests of its API keys
 * @param priority the priority of its requests, which replaces that of the route; empty to keep the route's
 * @param allowance how many of its requests may run
 */
public record Organisation(String name, Set<ApiKeyDigest> apiKeys, OptionalInt priority, Allowance allowance) {

    public Organisation {
        apiKeys = Set.copyOf(apiKeys);
    }
}
