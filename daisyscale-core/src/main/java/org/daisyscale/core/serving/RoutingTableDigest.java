package org.daisyscale.core.serving;

import java.util.List;
import java.util.Map;
import org.daisyscale.core.internal.digest.StableDigest;

/**
 * Digests of routing tables. Equal tables have the same digest on each router; the order of the routes counts.
 * Stateless.
 */
final class RoutingTableDigest {
    private RoutingTableDigest() {}

    static long of(
            List<Route> routes,
            Map<String, ServiceRules> services,
            RequestLimits limits,
            OrganisationTable organisations) {
        StableDigest digest = new StableDigest();
        add(digest, limits);
        digest.add(routes.size());
        routes.forEach(route -> add(digest, route));
        long rulesDigest = 0;
        for (Map.Entry<String, ServiceRules> entry : services.entrySet()) {
            rulesDigest += of(entry.getKey(), entry.getValue());
        }
        digest.add(services.size()).add(rulesDigest);
        if (organisations.isInForce()) {
            add(digest, organisations);
        }
        return digest.value();
    }

    private static void add(StableDigest digest, OrganisationTable organisations) {
        long sum = 0;
        for (Organisation organisation : organisations.byName().values()) {
            sum += of(organisation);
        }
        digest.add(organisations.byName().size()).add(sum);
    }

    private static long of(Organisation organisation) {
        long keySum = 0;
        for (ApiKeyDigest key : organisation.apiKeys()) {
            keySum += new StableDigest().add(key.hex()).value();
        }
        return new StableDigest()
                .add(organisation.name())
                .add(organisation.apiKeys().size())
                .add(keySum)
                .add(organisation.priority())
                .add(organisation.allowance().requestsPerSecond())
                .add(organisation.allowance().burstRequests())
                .value();
    }

    private static void add(StableDigest digest, Route route) {
        digest.add(route.name())
                .add(route.host())
                .add(route.pathPrefix())
                .add(route.isIdempotent())
                .add(route.timeoutMillis())
                .add(route.targetLatencyMillis())
                .add(route.priority())
                .add(route.maxBackends())
                .add(route.services().size());
        if (route.isPublic()) {
            digest.add(true);
        }
        for (Route.WeightedService service : route.services()) {
            digest.add(service.service()).add(service.weight());
        }
    }

    private static long of(String name, ServiceRules rules) {
        return new StableDigest()
                .add(name)
                .add(rules.name())
                .add(rules.healthPath())
                .add(rules.maxConnections())
                .add(rules.coldStartMillis())
                .add(rules.coldRequestsPerSecond())
                .add(rules.isSharded())
                .add(rules.warmupMillis())
                .value();
    }

    private static void add(StableDigest digest, RequestLimits limits) {
        digest.add(limits.maxHeaderBytes())
                .add(limits.maxBodyBytes())
                .add(limits.headerTimeoutMillis())
                .add(limits.idleTimeoutMillis());
    }
}
