package org.daisyscale.router.internal.serving;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.Map;

/**
 * The order in which routers on equally large VMs try to take the control of the keys. It follows a digest of their
 * names, so that neighbouring names, which often share a data centre, don't come first together. Stateless.
 */
final class CandidateRank {
    private CandidateRank() {}

    /**
     * Returns how many of the registered routers come before {@code ownId}.
     *
     * @param coresByRouter the processor share of each registered router, in cores
     * @param formerControllerId the router that controlled the keys last; it is still registered for some seconds
     */
    static int of(String ownId, Map<String, Double> coresByRouter, String formerControllerId) {
        Double ownCores = coresByRouter.get(ownId);
        Comparator<String> order = Comparator.comparingLong(CandidateRank::digest);
        return (int) coresByRouter.entrySet().stream()
                .filter(entry -> entry.getValue().equals(ownCores))
                .map(Map.Entry::getKey)
                .filter(id -> !id.equals(formerControllerId))
                .filter(id -> order.thenComparing(Comparator.naturalOrder()).compare(id, ownId) < 0)
                .count();
    }

    private static long digest(String routerId) {
        return Hashing.sha256().hashString(routerId, StandardCharsets.UTF_8).asLong();
    }
}
