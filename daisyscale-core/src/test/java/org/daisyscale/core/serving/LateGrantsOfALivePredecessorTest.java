package org.daisyscale.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against the refusal of requests that a predecessor with late grants serves a moment later. */
class LateGrantsOfALivePredecessorTest {
    private static final long MILLI = 1_000_000L;
    private static final long PAUSE_MILLIS = 100;

    private final RequestRouter router =
            RequestRouter.create(new ServingSettings("r1", "dc1", 1, 1.5, 5, 0.2, 60, 10_000, 2_000, 5_000));
    private final BackendServer predecessor = server("k2");
    private long nowNanos = 1;

    private static BackendServer server(String id) {
        return new BackendServer(id, 7, "keyed", "10.0.0.1", 80, "dc1", 3, false, 0);
    }

    @BeforeEach
    void moveKeysFromAServerThatMayTakeALateGrant() {
        ServiceRules rules = new ServiceRules("keyed", "/health", 120, 3_000, 7, true, 5_000);
        Route route = new Route("read", "h", "/", true, 800, 400, 1, 2, List.of(new Route.WeightedService("keyed", 1)));
        handle(new ServingEvent.TableChanged(new RoutingTable(
                1, List.of(route), Map.of("keyed", rules), new RequestLimits(16_384, 1 << 20, 3_000, 15_000))));
        handle(new ServingEvent.EvacuationsChanged(Set.of()));
        handle(new ServingEvent.RoutersChanged(Set.of("r1")));
        handle(new ServingEvent.RegistrationRenewed(nowNanos - 10_000 * MILLI, Long.MAX_VALUE / 2));
        handle(new ServingEvent.RoutersConfirmed(nowNanos));
        handle(new ServingEvent.ServerChanged(server("k1")));
        handle(new ServingEvent.ServerChanged(predecessor));
        KeyAssignment moving = new KeyAssignment(
                        0, KeyMap.KEY_COUNT - 1, KeyAssignment.Owner.of(predecessor), 1, true, List.of())
                .movedTo(KeyAssignment.Owner.of(server("k1")), 2)
                .withLateGrants(4_000);
        handle(new ServingEvent.KeyMapChanged(new KeyMap("keyed", 1, 0, 3, List.of(moving))));
    }

    private List<ServingAction> handle(ServingEvent event) {
        return router.handle(event, nowNanos);
    }

    private List<ServingAction> arrive(long requestId) {
        return handle(new ServingEvent.RequestArrived(
                requestId, new RequestHead("h", "/x", 1_500, 5, 0, "id" + requestId), nowNanos));
    }

    @Test
    void shouldSendARequestToAPredecessorWhoseShortPauseIsOver() {
        assertThat(arrive(1)).anyMatch(ServingAction.SendAttempt.class::isInstance);
        handle(new ServingEvent.AttemptEnded(
                1, 1, AttemptOutcome.ANSWERED, Optional.empty(), new ServerNotice(false, PAUSE_MILLIS, "")));

        assertThat(arrive(2)).noneMatch(ServingAction.Reject.class::isInstance);

        nowNanos += (PAUSE_MILLIS + 60) * MILLI;
        assertThat(handle(new ServingEvent.TimePassed())).anyMatch(ServingAction.SendAttempt.class::isInstance);
    }
}
