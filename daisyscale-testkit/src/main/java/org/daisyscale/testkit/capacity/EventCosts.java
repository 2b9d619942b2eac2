package org.daisyscale.testkit.capacity;

import java.util.Map;
import org.daisyscale.core.Event;
import org.daisyscale.core.request.KeyHeaders;
import org.daisyscale.core.request.RequestMeta;

/** The core's mean time on each kind of event under requests. Not safe for several threads. */
final class EventCosts {
    private static final int ROUNDS = 3_000;
    private static final int REQUESTS_PER_ROUND = 20;

    /** Microseconds by the kind of event, on a router that dispatches every service of a fleet of {@code size}. */
    Map<String, Double> measure(FleetSize size) {
        FleetSize alone = new FleetSize(1, size.serviceCount(), size.serversPerService(), size.slicesPerService());
        Region region = new Region(alone);
        FocalRouter router = region.warm(region.controller(), (to, message) -> {});
        sendRequests(router, alone, "warm");
        router.times().clear();
        sendRequests(router, alone, "measured");
        return router.times().meanMicros();
    }

    private static void sendRequests(FocalRouter router, FleetSize size, String prefix) {
        for (int round = 0; round < ROUNDS; round++) {
            for (int i = 0; i < REQUESTS_PER_ROUND; i++) {
                String id = prefix + "-" + round + "-" + i;
                router.give(new Event.RequestArrived(id, meta(i % size.serviceCount(), id)));
            }
            router.runFor(2);
        }
    }

    private static RequestMeta meta(int service, String key) {
        return new RequestMeta(
                SampleFleet.job(service), "POST", "/slots/" + key, "", KeyHeaders.none(), "caller-1", "", 0, "");
    }
}
