package org.daisyscale.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LeavingServerTest {
    private static final long MILLI = 1_000_000L;
    private static final long DRAIN_MILLIS = 2_000;

    private final RequestRouter router =
            RequestRouter.create(new ServingSettings("r1", "dc1", 1, 1.5, 5, 0.2, 60, 10_000, DRAIN_MILLIS, 5_000));
    private long nowNanos = 1;
    private long lastRequestId;

    @BeforeEach
    void useTable() {
        ServiceRules rules = new ServiceRules("keyed", "/health", 120, 3_000, 7, true, 5_000);
        Route route = new Route("read", "h", "/", true, 800, 400, 1, 2, List.of(new Route.WeightedService("keyed", 1)));
        handle(new ServingEvent.EvacuationsChanged(Set.of()));
        handle(new ServingEvent.TableChanged(new RoutingTable(
                1, List.of(route), Map.of("keyed", rules), new RequestLimits(16_384, 1 << 20, 3_000, 15_000))));
    }

    private List<ServingAction> handle(ServingEvent event) {
        return router.handle(event, nowNanos);
    }

    private static BackendServer server(boolean isDraining) {
        return new BackendServer("k1", 7, "keyed", "10.0.0.1", 80, "dc1", 3, isDraining, 0);
    }

    private EventTime maxAgeMillis(long millis) {
        return EventTime.notBefore(nowNanos - millis * MILLI);
    }

    private void assignAllKeys() {
        KeyAssignment all =
                new KeyAssignment(0, KeyMap.KEY_COUNT - 1, KeyAssignment.Owner.of(server(false)), 1, true, List.of());
        handle(new ServingEvent.KeyMapChanged(new KeyMap("keyed", 1, 0, 2, List.of(all))));
    }

    private boolean isSent() {
        RequestHead head = new RequestHead("h", "/x", 1_500, 5, 0, "id");
        return handle(new ServingEvent.RequestArrived(++lastRequestId, head, nowNanos)).stream()
                .anyMatch(ServingAction.SendAttempt.class::isInstance);
    }

    @Test
    void shouldUseALeavingOwnerUntilItsKeysAreHandedOver() {
        handle(new ServingEvent.ServerChanged(server(false)));
        assignAllKeys();

        handle(new ServingEvent.ServerChanged(server(true), maxAgeMillis(300)));

        assertThat(isSent()).isTrue();
    }

    /** Guards against requests after the drain time: the report may be as old as the router's view was. */
    @Test
    void shouldCountTheTimeOfALeavingOwnerFromTheEarliestMomentOfItsReport() {
        handle(new ServingEvent.ServerChanged(server(false)));
        assignAllKeys();

        handle(new ServingEvent.ServerChanged(server(true), maxAgeMillis(1_600)));

        assertThat(isSent()).isFalse();
    }

    @Test
    void shouldNotUseALeavingOwnerCloseToTheEndOfItsDrainTime() {
        handle(new ServingEvent.ServerChanged(server(false)));
        assignAllKeys();
        handle(new ServingEvent.ServerChanged(server(true), maxAgeMillis(300)));

        nowNanos += (DRAIN_MILLIS - 800) * MILLI;

        assertThat(isSent()).isFalse();
    }

    /** Guards against servers that have left long ago and are in use again after a restart of the router. */
    @Test
    void shouldNotUseAnOwnerThatWasLeavingWhenTheRouterFirstHeardOfIt() {
        handle(new ServingEvent.ServerChanged(server(true), maxAgeMillis(100)));
        assignAllKeys();

        assertThat(isSent()).isFalse();
    }
}
