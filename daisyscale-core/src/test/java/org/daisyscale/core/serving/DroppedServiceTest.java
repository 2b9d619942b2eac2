package org.daisyscale.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.daisyscale.core.serving.KeyAssignment.Owner;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests with a key that reach another server than its owner. */
class DroppedServiceTest {
    private static final long MILLI = 1_000_000L;
    private static final RequestLimits LIMITS = new RequestLimits(16_384, 1 << 20, 3_000, 15_000);
    private static final int KEY = 5;

    private final RequestRouter router =
            RequestRouter.create(new ServingSettings("r1", "dc1", 1, 1.5, 5, 0.2, 60, 10_000, 2_000, 5_000));
    private long nowNanos = 1;

    @BeforeEach
    void useService() {
        ServiceRules rules = new ServiceRules("keyed", "/health", 120, 3_000, 7, true, 5_000);
        Route route = new Route("read", "h", "/", true, 800, 400, 1, 2, List.of(new Route.WeightedService("keyed", 1)));
        handle(new ServingEvent.EvacuationsChanged(Set.of()));
        handle(new ServingEvent.TableChanged(new RoutingTable(1, List.of(route), Map.of("keyed", rules), LIMITS)));
        handle(new ServingEvent.ServerChanged(server("k1")));
        handle(new ServingEvent.ServerChanged(server("k2")));
    }

    private List<ServingAction> handle(ServingEvent event) {
        return router.handle(event, nowNanos);
    }

    private static BackendServer server(String id) {
        return new BackendServer(id, 7, "keyed", "10.0.0.1", 80, "dc1", 3, false, 0);
    }

    private List<ServingAction> assignAllKeys(long version, boolean isSettled) {
        KeyAssignment all =
                new KeyAssignment(0, KeyMap.KEY_COUNT - 1, Owner.of(server("k2")), version, isSettled, List.of());
        return handle(new ServingEvent.KeyMapChanged(new KeyMap("keyed", version, 0, version + 1, List.of(all))));
    }

    private static List<String> sentTo(List<ServingAction> actions) {
        return actions.stream()
                .filter(ServingAction.SendAttempt.class::isInstance)
                .map(action -> ((ServingAction.SendAttempt) action).server().id())
                .toList();
    }

    @Test
    void shouldSendAWaitingRequestOnlyToTheOwnerOfItsKeyAfterItsServiceWasDropped() {
        assignAllKeys(1, false);
        RequestHead head = new RequestHead("h", "/x", 1_500, KEY, 0, "id");
        List<ServingAction> arrived = handle(new ServingEvent.RequestArrived(1, head, nowNanos));

        handle(new ServingEvent.TableChanged(new RoutingTable(2, List.of(), Map.of(), LIMITS)));
        nowNanos += 60 * MILLI;
        List<ServingAction> whileMoving = handle(new ServingEvent.TimePassed());
        List<ServingAction> whenSettled = assignAllKeys(2, true);

        assertThat(sentTo(arrived)).isEmpty();
        assertThat(sentTo(whileMoving)).isEmpty();
        assertThat(sentTo(whenSettled)).containsExactly("k2");
    }
}
