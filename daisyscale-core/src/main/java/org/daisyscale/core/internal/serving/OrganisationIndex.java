package org.daisyscale.core.internal.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.daisyscale.core.serving.ApiKeyDigest;
import org.daisyscale.core.serving.Organisation;
import org.daisyscale.core.serving.OrganisationTable;
import org.daisyscale.core.serving.RequestHead;
import org.daisyscale.core.serving.Route;

/**
 * Finds the organisation that holds an API key, in constant time. Thread-safe, because nothing changes after the
 * construction.
 */
final class OrganisationIndex {
    private final boolean isInForce;
    private final Map<ApiKeyDigest, Organisation> byKey = new HashMap<>();

    OrganisationIndex(OrganisationTable table) {
        this.isInForce = table.isInForce();
        for (Organisation organisation : table.byName().values()) {
            organisation.apiKeys().forEach(key -> byKey.put(key, organisation));
        }
    }

    /** Returns the caller of a request on {@code route}; empty if it needs an API key and has no known one. */
    Optional<Caller> identify(RequestHead head, Route route) {
        if (!isInForce) {
            return Optional.of(Caller.UNVERIFIED);
        }
        if (route.isPublic()) {
            return Optional.of(Caller.PUBLIC);
        }
        return Optional.ofNullable(byKey.get(head.apiKey())).map(Caller::of);
    }
}
