package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.daisyscale.core.following.ReadCircumstances;
import org.daisyscale.core.following.UpdateResult;
import org.daisyscale.core.following.ViewUpdate;
import org.daisyscale.core.following.ViewVersion;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.Listing;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.EventTime;
import org.daisyscale.core.serving.RequestHead;
import org.daisyscale.core.serving.RequestLimits;
import org.daisyscale.core.serving.RequestRouter;
import org.daisyscale.core.serving.Route;
import org.daisyscale.core.serving.RoutingTable;
import org.daisyscale.core.serving.ServiceRules;
import org.daisyscale.core.serving.ServingAction;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.core.serving.ServingSettings;
import org.daisyscale.router.serving.FleetDecoder;
import org.junit.jupiter.api.Test;

/** Guards against incident EVAC: requests were decided between the configuration and the evacuations of a listing. */
class EvacuationWithConfigurationTest {
    private static final String EVACUATED = "z1";
    private static final ReadCircumstances CIRCUMSTANCES = new ReadCircumstances(EventTime.UNKNOWN, false);

    private final RequestRouter router = startRouter();
    private final List<String> usedDataCentres = new ArrayList<>();
    private final OperatorState state = operatorState(this::handleBetweenRequests);
    private long lastRequestId;

    private static RequestRouter startRouter() {
        return RequestRouter.create(new ServingSettings("r1", EVACUATED, 1, 1.5, 5, 0.2, 60, 10_000, 2_000, 5_000));
    }

    private static OperatorState operatorState(Consumer<ServingEvent> events) {
        return new OperatorState(new OneRouteDecoder(), events, new Readiness());
    }

    private static Listing listing() {
        return new Listing(
                List.of(NumberedConfigurations.configuration(1, 5), NumberedConfigurations.evacuation(EVACUATED, 6)),
                6);
    }

    private static BackendServer server(String id, String dataCentre) {
        return new BackendServer(id, 7, "s", "10.0.0.1", 80, dataCentre, 3, false, 0);
    }

    private void learnServers() {
        router.handle(new ServingEvent.ServerChanged(server("p1", EVACUATED)), 1);
        router.handle(new ServingEvent.ServerChanged(server("p2", "z2")), 1);
    }

    /** Hands {@code event} to the decisions with a request before and one after it, as other threads may. */
    private void handleBetweenRequests(ServingEvent event) {
        arrive();
        router.handle(event, 1);
        arrive();
    }

    private void arrive() {
        RequestHead head = new RequestHead("h", "/r/1", 1_500, RequestHead.NO_KEY, 0, "id");
        router.handle(new ServingEvent.RequestArrived(++lastRequestId, head, 1), 1).stream()
                .filter(ServingAction.SendAttempt.class::isInstance)
                .map(action -> ((ServingAction.SendAttempt) action).server().dataCentre())
                .forEach(usedDataCentres::add);
    }

    @Test
    void shouldSendNothingToAnEvacuatedDataCentreWhileARouterLearnsWhatOperatorsWroteFromTheStore() {
        learnServers();

        state.applyListing(listing(), CIRCUMSTANCES);

        assertThat(usedDataCentres).doesNotContain(EVACUATED);
    }

    @Test
    void shouldSendNothingToAnEvacuatedDataCentreWhileARouterLearnsWhatOperatorsWroteFromTheController() {
        OperatorState controller = operatorState(event -> {});
        controller.applyListing(listing(), CIRCUMSTANCES);
        ViewUpdate whole = controller.updateFrom(new ViewVersion(0, 0), true);
        learnServers();

        assertThat(state.applyUpdate(whole, "r2", EventTime.UNKNOWN)).isEqualTo(UpdateResult.APPLIED);

        assertThat(usedDataCentres).doesNotContain(EVACUATED);
    }

    /** Decodes configurations with one route to one service. Stateless. */
    private static final class OneRouteDecoder implements FleetDecoder {
        private final NumberedConfigurations numbered = new NumberedConfigurations();

        @Override
        public String operatorPrefix() {
            return numbered.operatorPrefix();
        }

        @Override
        public String serverPrefix() {
            return numbered.serverPrefix();
        }

        @Override
        public Optional<RoutingTable> table(Item item) {
            Route route = new Route("r", "h", "/r/", true, 800, 400, 1, 2, List.of(new Route.WeightedService("s", 1)));
            ServiceRules rules = new ServiceRules("s", "/health", 120, 3_000, 7, false, 0);
            RequestLimits limits = new RequestLimits(16_384, 1 << 20, 3_000, 15_000);
            return numbered.table(item)
                    .map(table -> new RoutingTable(table.version(), List.of(route), Map.of("s", rules), limits));
        }

        @Override
        public Optional<String> evacuatedDataCentre(String key) {
            return numbered.evacuatedDataCentre(key);
        }

        @Override
        public Optional<BackendServer> server(Item item) {
            return Optional.empty();
        }

        @Override
        public String serverId(String key) {
            return key;
        }
    }
}
