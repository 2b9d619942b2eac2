package org.daisyscale.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a grace for owners in an evacuated data centre that counts from when a router hears of it (EVAC). */
class EvacuationGraceTest {
    private static final long MILLI = 1_000_000L;
    private static final long EVACUATE_MILLIS = 5_000;

    private final RequestRouter router =
            RequestRouter.create(new ServingSettings("r1", "dc1", 1, 1.5, 5, 0.2, 60, 10_000, 2_000, EVACUATE_MILLIS));
    private long nowNanos = 1;
    private long lastRequestId;

    @BeforeEach
    void assignAllKeysToAServerInTheDataCentre() {
        ServiceRules rules = new ServiceRules("keyed", "/health", 120, 3_000, 7, true, 5_000);
        Route route = new Route("read", "h", "/", true, 800, 400, 1, 2, List.of(new Route.WeightedService("keyed", 1)));
        BackendServer server = new BackendServer("k1", 7, "keyed", "10.0.0.1", 80, "dc2", 3, false, 0);
        KeyAssignment all =
                new KeyAssignment(0, KeyMap.KEY_COUNT - 1, KeyAssignment.Owner.of(server), 1, true, List.of());
        handle(new ServingEvent.TableChanged(new RoutingTable(
                1, List.of(route), Map.of("keyed", rules), new RequestLimits(16_384, 1 << 20, 3_000, 15_000))));
        handle(new ServingEvent.EvacuationsChanged(Set.of()));
        handle(new ServingEvent.ServerChanged(server));
        handle(new ServingEvent.KeyMapChanged(new KeyMap("keyed", 1, 0, 2, List.of(all))));
    }

    private List<ServingAction> handle(ServingEvent event) {
        return router.handle(event, nowNanos);
    }

    private void evacuate(long maxAgeMillis) {
        EventTime evacuatedAt = EventTime.notBefore(nowNanos - maxAgeMillis * MILLI);
        handle(new ServingEvent.EvacuationsChanged(Map.of("dc2", evacuatedAt)));
    }

    private boolean isOwnerUsed() {
        RequestHead head = new RequestHead("h", "/x", 1_500, 5, 0, "id");
        return handle(new ServingEvent.RequestArrived(++lastRequestId, head, nowNanos)).stream()
                .anyMatch(ServingAction.SendAttempt.class::isInstance);
    }

    @Test
    void shouldUseAnOwnerThereUntilItsKeysAreHandedOver() {
        evacuate(500);

        assertThat(isOwnerUsed()).isTrue();
    }

    @Test
    void shouldNotUseAnOwnerThereCloseToTheEndOfTheEvacuationTime() {
        evacuate(500);

        nowNanos += (EVACUATE_MILLIS - 1_500) * MILLI;

        assertThat(isOwnerUsed()).isFalse();
    }

    @Test
    void shouldCountTheTimeFromTheEarliestMomentOfTheAcknowledgementWhenTheNewsWereLate() {
        evacuate(EVACUATE_MILLIS - 1_000);

        assertThat(isOwnerUsed()).isFalse();
    }

    @Test
    void shouldCountFromTheFirstAcknowledgementWhenTheEvacuationIsWrittenAgain() {
        evacuate(0);
        nowNanos += (EVACUATE_MILLIS - 1_000) * MILLI;

        evacuate(0);

        assertThat(isOwnerUsed()).isFalse();
    }

    @Test
    void shouldCountAnewWhenTheDataCentreWasTakenBackInBetween() {
        handle(new ServingEvent.RegistrationRenewed(nowNanos - 10_000 * MILLI, nowNanos + 60_000 * MILLI));
        evacuate(0);
        nowNanos += (EVACUATE_MILLIS - 1_000) * MILLI;
        handle(new ServingEvent.EvacuationsChanged(Set.of()));
        nowNanos += 10_000 * MILLI;
        handle(new ServingEvent.RoutersConfirmed(nowNanos));

        evacuate(0);

        assertThat(isOwnerUsed()).isTrue();
    }

    /** The clock does not count the time of a suspension, so the evacuation may be older than it seems. */
    @Test
    void shouldNotUseAnOwnerThereAfterTheVmWasSuspended() {
        evacuate(0);

        handle(new ServingEvent.Suspended());

        assertThat(isOwnerUsed()).isFalse();
    }

    /** What was proved before the suspension is older than the clock says, also if the news of it come after. */
    @Test
    void shouldNotUseAnOwnerThereWhenTheNewsOfTheEvacuationComeAfterTheVmWasSuspended() {
        handle(new ServingEvent.Suspended());

        evacuate(100);

        assertThat(isOwnerUsed()).isFalse();
    }
}
