package org.daisyscale.core.internal.dispatch;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.daisyscale.core.DispatchPolicyName;

/** Creates the chooser for a policy name. Stateless. */
final class ServerChoosers {

    private ServerChoosers() {}

    /** Creates a chooser whose random choices are seeded with {@code seed}. */
    static ServerChooser create(DispatchPolicyName policy, long seed) {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        return switch (policy) {
            case LATE_BINDING -> new LateBindingChooser();
            case ROUND_ROBIN -> new EarlyBindingChooser(roundRobin());
            case RANDOM -> new EarlyBindingChooser((request, servers) -> randomServer(servers, random));
            case TWO_CHOICES -> new EarlyBindingChooser((request, servers) -> lessBusyOfTwo(request, servers, random));
        };
    }

    private static EarlyBindingChooser.Pick roundRobin() {
        int[] next = {0};
        return (request, servers) -> servers.get(Math.floorMod(next[0]++, servers.size()));
    }

    private static ServerTracker randomServer(List<ServerTracker> servers, UniformRandomProvider random) {
        return servers.get(random.nextInt(servers.size()));
    }

    /** Compares only the orders of the request's own entry router, as routers without shared dispatchers would. */
    private static ServerTracker lessBusyOfTwo(
            WaitingRequest request, List<ServerTracker> servers, UniformRandomProvider random) {
        ServerTracker one = randomServer(servers, random);
        ServerTracker other = randomServer(servers, random);
        return one.runningFor(request.router()) <= other.runningFor(request.router()) ? one : other;
    }
}
