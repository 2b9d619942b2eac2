package org.daisyscale.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class EvacuationReportTest {
    private final RequestRouter router =
            RequestRouter.create(new ServingSettings("r1", "dc2", 1, 1.5, 5, 0.2, 60, 10_000, 2_000, 5_000));

    private static RoutingTable table() {
        Route read = new Route("read", "h", "/", true, 800, 400, 1, 2, List.of(new Route.WeightedService("s", 1)));
        return new RoutingTable(
                1,
                List.of(read),
                Map.of("s", new ServiceRules("s", "/health", 120, 3_000, 7, false, 0)),
                new RequestLimits(16_384, 1 << 20, 3_000, 15_000));
    }

    private String evacuate(String dataCentre) {
        return router.handle(new ServingEvent.EvacuationsChanged(Set.of(dataCentre)), 3).stream()
                .filter(ServingAction.Report.class::isInstance)
                .map(ServingAction.Report.class::cast)
                .filter(report -> report.event().equals("evacuation-in-force"))
                .map(ServingAction.Report::detail)
                .findFirst()
                .orElseThrow();
    }

    @Test
    void shouldReportHowManyRequestsAreInFlightInADataCentreWhenItsEvacuationTakesEffect() {
        router.handle(new ServingEvent.EvacuationsChanged(Set.of()), 1);
        router.handle(new ServingEvent.TableChanged(table()), 1);
        router.handle(
                new ServingEvent.ServerChanged(new BackendServer("p1", 7, "s", "10.0.0.1", 80, "dc2", 3, false, 0)), 1);
        RequestHead head = new RequestHead("h", "/1", 1_500, RequestHead.NO_KEY, 0, "id");
        router.handle(new ServingEvent.RequestArrived(1, head, 2), 2);

        assertThat(evacuate("dc2")).startsWith("dataCentres=[dc2] openRequests=1 inFlightThere=1 missing=nothing ");
    }

    @Test
    void shouldReportThatAnEvacuationTakesEffectBeforeThereIsAConfiguration() {
        assertThat(evacuate("dc2"))
                .startsWith("dataCentres=[dc2] openRequests=0 inFlightThere=0 missing=no configuration ");
    }
}
