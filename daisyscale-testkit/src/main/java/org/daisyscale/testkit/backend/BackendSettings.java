package org.daisyscale.testkit.backend;

import java.util.List;

/**
 * What a backend server stand-in does. Immutable.
 *
 * @param server the id of its VM
 * @param slotCount the requests that it runs at once
 * @param serviceTimes the service times; the first rule whose prefix fits counts
 * @param cold the cold start
 * @param stragglers the moments of slowness
 * @param seed the seed of service times and straggler moments
 * @param checksOrders whether it checks who orders
 * @param reportLagMillis how old its reported load may be, in milliseconds
 */
public record BackendSettings(
        String server,
        int slotCount,
        List<ServiceTimeRule> serviceTimes,
        ColdSettings cold,
        StragglerSettings stragglers,
        long seed,
        boolean checksOrders,
        long reportLagMillis) {
    private static final ServiceTime DEFAULT_SERVICE_TIME = new ServiceTime.Fixed(1);

    public BackendSettings {
        serviceTimes = List.copyOf(serviceTimes);
    }

    /** Settings of a warm, even server that checks who orders. */
    public static BackendSettings plain(String server, int slotCount, double serviceMillis) {
        var everywhere = new ServiceTimeRule("/", new ServiceTime.Fixed(serviceMillis));
        return new BackendSettings(
                server, slotCount, List.of(everywhere), ColdSettings.none(), StragglerSettings.none(), 1, true, 0);
    }

    /** The same settings with another cold start. */
    public BackendSettings withCold(ColdSettings newCold) {
        return new BackendSettings(
                server, slotCount, serviceTimes, newCold, stragglers, seed, checksOrders, reportLagMillis);
    }

    ServiceTime serviceTimeOf(String path) {
        return serviceTimes.stream()
                .filter(rule -> path.startsWith(rule.pathPrefix()))
                .map(ServiceTimeRule::serviceTime)
                .findFirst()
                .orElse(DEFAULT_SERVICE_TIME);
    }
}
