package org.daisyscale.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Guards against floods of servers whose data centre was taken back, in whatever order a router learns of it. */
class ColdAfterEvacuationTest {
    private static final int REQUEST_COUNT = 40;
    /** Requests that a cold server may get in one second: 7 a second, burst factor 1.5, slack 5. */
    private static final long COLD_LIMIT = 15;

    private final RequestRouter router =
            RequestRouter.create(new ServingSettings("r1", "dc1", 1, 1.5, 5, 0.2, 60, 10_000, 2_000, 5_000));
    private final long nowNanos = 1;

    @BeforeEach
    void learnOfTheRouters() {
        handle(new ServingEvent.RoutersChanged(Set.of("r1")));
        handle(new ServingEvent.RegistrationRenewed(nowNanos - 10_000_000_000L, Long.MAX_VALUE / 2));
        handle(new ServingEvent.RoutersConfirmed(nowNanos));
    }

    private List<ServingAction> handle(ServingEvent event) {
        return router.handle(event, nowNanos);
    }

    private void learnOfTheConfiguration() {
        ServiceRules rules = new ServiceRules("pooled", "/health", 120, 3_000, 7, false, 0);
        Route route =
                new Route("read", "h", "/", true, 100_000, 400, 1, 2, List.of(new Route.WeightedService("pooled", 1)));
        handle(new ServingEvent.TableChanged(new RoutingTable(
                1, List.of(route), Map.of("pooled", rules), new RequestLimits(16_384, 1 << 20, 3_000, 15_000))));
    }

    private void learnOfTheServer() {
        handle(new ServingEvent.ServerChanged(
                new BackendServer("s1", 7, "pooled", "10.0.0.1", 80, "dc2", 100, false, 0)));
    }

    private void evacuateAndTakeBack() {
        handle(new ServingEvent.EvacuationsChanged(Set.of("dc2")));
        handle(new ServingEvent.EvacuationsChanged(Set.of()));
    }

    private long sentCount() {
        return IntStream.range(0, REQUEST_COUNT)
                .mapToObj(id -> new ServingEvent.RequestArrived(
                        id + 1, new RequestHead("h", "/x", 90_000, 5, RequestHead.NO_KEY, "id" + id), nowNanos))
                .flatMap(arrived -> handle(arrived).stream())
                .filter(ServingAction.SendAttempt.class::isInstance)
                .count();
    }

    @Test
    void shouldLimitAServerThatIsKnownWhenItsDataCentreIsTakenBack() {
        learnOfTheConfiguration();
        learnOfTheServer();
        evacuateAndTakeBack();

        assertThat(sentCount()).isBetween(1L, COLD_LIMIT);
    }

    @Test
    @Tag("known-red")
    void shouldLimitAServerThatBecomesKnownJustAfterItsDataCentreWasTakenBack() {
        learnOfTheConfiguration();
        evacuateAndTakeBack();
        learnOfTheServer();

        assertThat(sentCount()).isLessThanOrEqualTo(COLD_LIMIT);
    }

    @Test
    @Tag("known-red")
    void shouldLimitAServerWhoseDataCentreIsTakenBackBeforeTheConfigurationIsKnown() {
        learnOfTheServer();
        evacuateAndTakeBack();
        learnOfTheConfiguration();

        assertThat(sentCount()).isLessThanOrEqualTo(COLD_LIMIT);
    }

    @Test
    @Tag("known-red")
    void shouldLimitAServerAtARouterThatStartsJustAfterItsDataCentreWasTakenBack() {
        learnOfTheConfiguration();
        learnOfTheServer();
        handle(new ServingEvent.EvacuationsChanged(Set.of()));

        assertThat(sentCount()).isLessThanOrEqualTo(COLD_LIMIT);
    }
}
