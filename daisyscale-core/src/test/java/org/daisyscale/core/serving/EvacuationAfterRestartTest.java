package org.daisyscale.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.daisyscale.core.error.CoreErrorCode;
import org.junit.jupiter.api.Test;

/** Guards against a router that starts during an evacuation and sends requests to the evacuated data centre (EVAC). */
class EvacuationAfterRestartTest {
    private static final long MILLI = 1_000_000L;
    private static final String EVACUATED = "dc2";
    private static final int KEY = 5;

    private RequestRouter router = startRouter();
    private long nowNanos = 1;
    private long lastRequestId;

    private static RequestRouter startRouter() {
        return RequestRouter.create(new ServingSettings("r1", "dc1", 1, 1.5, 5, 0.2, 60, 10_000, 2_000, 5_000));
    }

    private static BackendServer server(String id, String service, String dataCentre) {
        return new BackendServer(id, 7, service, "10.0.0.1", 80, dataCentre, 3, false, 0);
    }

    private static RoutingTable table() {
        Route pay =
                new Route("pay", "h", "/pay/", false, 800, 400, 1, 2, List.of(new Route.WeightedService("pooled", 1)));
        Route read =
                new Route("read", "h", "/read/", true, 800, 400, 1, 2, List.of(new Route.WeightedService("keyed", 1)));
        ServiceRules pooled = new ServiceRules("pooled", "/health", 120, 3_000, 7, false, 0);
        ServiceRules keyed = new ServiceRules("keyed", "/health", 120, 3_000, 7, true, 5_000);
        return new RoutingTable(
                1,
                List.of(pay, read),
                Map.of("pooled", pooled, "keyed", keyed),
                new RequestLimits(16_384, 1 << 20, 3_000, 15_000));
    }

    private static KeyMap keyMap() {
        KeyAssignment all = new KeyAssignment(
                0, KeyMap.KEY_COUNT - 1, KeyAssignment.Owner.of(server("k2", "keyed", EVACUATED)), 1, true, List.of());
        return new KeyMap("keyed", 1, 0, 2, List.of(all));
    }

    /** Returns the parts of what a router has to know. */
    private static List<ServingEvent> parts() {
        return List.of(
                new ServingEvent.TableChanged(table()),
                new ServingEvent.EvacuationsChanged(Set.of(EVACUATED)),
                new ServingEvent.ServerChanged(server("p1", "pooled", "dc1")),
                new ServingEvent.ServerChanged(server("p2", "pooled", EVACUATED)),
                new ServingEvent.ServerChanged(server("k2", "keyed", EVACUATED)),
                new ServingEvent.KeyMapChanged(keyMap()));
    }

    private static List<List<ServingEvent>> permutations(List<ServingEvent> events) {
        if (events.isEmpty()) {
            return List.of(List.of());
        }
        List<List<ServingEvent>> all = new ArrayList<>();
        for (ServingEvent first : events) {
            List<ServingEvent> others = new ArrayList<>(events);
            others.remove(first);
            for (List<ServingEvent> rest : permutations(others)) {
                List<ServingEvent> order = new ArrayList<>(List.of(first));
                order.addAll(rest);
                all.add(order);
            }
        }
        return all;
    }

    private List<ServingAction> handle(ServingEvent event) {
        return router.handle(event, nowNanos);
    }

    private List<ServingAction> arrive(String path, int key) {
        RequestHead head = new RequestHead("h", path, 1_500, key, 0, "id");
        return handle(new ServingEvent.RequestArrived(++lastRequestId, head, nowNanos));
    }

    private static List<String> sentTo(List<ServingAction> actions) {
        return actions.stream()
                .filter(ServingAction.SendAttempt.class::isInstance)
                .map(action -> ((ServingAction.SendAttempt) action).server().dataCentre())
                .toList();
    }

    /** Starts a router that learns {@code parts}, sends it requests after each, and returns where they went. */
    private List<String> sentWhileLearning(List<ServingEvent> parts) {
        router = startRouter();
        List<String> dataCentres = new ArrayList<>();
        for (ServingEvent part : parts) {
            nowNanos += MILLI;
            dataCentres.addAll(sentTo(handle(part)));
            dataCentres.addAll(sentTo(arrive("/pay/1", RequestHead.NO_KEY)));
            dataCentres.addAll(sentTo(arrive("/read/1", KEY)));
        }
        return dataCentres;
    }

    @Test
    void shouldSendNothingToAnEvacuatedDataCentreInWhateverOrderAStartingRouterLearnsOfIt() {
        for (List<ServingEvent> order : permutations(parts())) {
            assertThat(sentWhileLearning(order))
                    .as("data centres that got requests; learned in the order %s", order)
                    .isNotEmpty()
                    .doesNotContain(EVACUATED);
        }
    }

    /** The evacuation may have been acknowledged for longer than the time in which owners there are still used. */
    @Test
    void shouldRejectARequestAtOnceWhoseOwnerIsInADataCentreThatWasEvacuatedBeforeTheRouterStarted() {
        parts().forEach(this::handle);

        List<ServingAction> actions = arrive("/read/1", KEY);

        assertThat(actions)
                .filteredOn(ServingAction.Reject.class::isInstance)
                .extracting(action -> ((ServingAction.Reject) action).reason())
                .containsExactly(CoreErrorCode.NO_OWNER);
    }
}
