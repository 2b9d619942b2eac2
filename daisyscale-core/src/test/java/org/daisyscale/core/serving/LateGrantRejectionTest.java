package org.daisyscale.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.daisyscale.core.error.CoreErrorCode;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that wait for a range which no new owner can get for seconds. */
class LateGrantRejectionTest {
    private static final long MILLI = 1_000_000L;
    private static final long LATE_MILLIS = 4_000;

    private final RequestRouter router =
            RequestRouter.create(new ServingSettings("r1", "dc1", 1, 1.5, 5, 0.2, 60, 10_000, 2_000, 5_000));
    private long nowNanos = 1;
    private long lastRequestId;
    private long lastVersion;

    @BeforeEach
    void evacuateTheDataCentreOfTheOwner() {
        ServiceRules rules = new ServiceRules("keyed", "/health", 120, 3_000, 7, true, 5_000);
        Route route = new Route("read", "h", "/", true, 800, 400, 1, 2, List.of(new Route.WeightedService("keyed", 1)));
        handle(new ServingEvent.TableChanged(new RoutingTable(
                1, List.of(route), Map.of("keyed", rules), new RequestLimits(16_384, 1 << 20, 3_000, 15_000))));
        handle(new ServingEvent.EvacuationsChanged(Set.of("dc2")));
        handle(new ServingEvent.ServerChanged(server("k1", "dc1")));
        handle(new ServingEvent.ServerChanged(server("k2", "dc2")));
    }

    private static BackendServer server(String id, String dataCentre) {
        return new BackendServer(id, 7, "keyed", "10.0.0.1", 80, dataCentre, 3, false, 0);
    }

    private List<ServingAction> handle(ServingEvent event) {
        return router.handle(event, nowNanos);
    }

    /** Moves all keys away from a server there, to which a grant may take effect for {@code lateGrantMillis}. */
    private void moveKeys(long lateGrantMillis) {
        KeyAssignment moving = new KeyAssignment(
                        0, KeyMap.KEY_COUNT - 1, KeyAssignment.Owner.of(server("k2", "dc2")), 1, true, List.of())
                .movedTo(KeyAssignment.Owner.of(server("k1", "dc1")), 2)
                .withLateGrants(lateGrantMillis);
        handle(new ServingEvent.KeyMapChanged(new KeyMap("keyed", ++lastVersion, 0, 3, List.of(moving))));
    }

    private List<ServingAction> arrive() {
        RequestHead head = new RequestHead("h", "/x", 1_500, 5, 0, "id");
        return handle(new ServingEvent.RequestArrived(++lastRequestId, head, nowNanos));
    }

    private static List<ServingAction.Reject> rejections(List<ServingAction> actions) {
        return actions.stream()
                .filter(ServingAction.Reject.class::isInstance)
                .map(ServingAction.Reject.class::cast)
                .toList();
    }

    @Test
    void shouldRejectARequestAtOnceWhileALateGrantKeepsItsRangeFromTheNewOwner() {
        moveKeys(LATE_MILLIS);

        assertThat(rejections(arrive())).singleElement().satisfies(rejection -> {
            assertThat(rejection.reason()).isEqualTo(CoreErrorCode.NO_OWNER);
            assertThat(rejection.retryAfterMillis()).isGreaterThanOrEqualTo(LATE_MILLIS);
        });
    }

    @Test
    void shouldAdviseWhatIsLeftOfTheTimeOfTheLateGrantAlsoWhenTheMapChangesMeanwhile() {
        moveKeys(LATE_MILLIS);
        nowNanos += 1_000 * MILLI;
        moveKeys(LATE_MILLIS);

        assertThat(rejections(arrive()))
                .singleElement()
                .satisfies(rejection ->
                        assertThat(rejection.retryAfterMillis()).isBetween(LATE_MILLIS - 1_000, LATE_MILLIS - 500));
    }

    @Test
    void shouldLetARequestWaitForTheNewOwnerWhenNoGrantMayTakeEffectLate() {
        moveKeys(0);

        assertThat(rejections(arrive())).isEmpty();
    }
}
