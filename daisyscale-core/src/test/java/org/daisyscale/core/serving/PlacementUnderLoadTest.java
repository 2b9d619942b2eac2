package org.daisyscale.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against decisions that cost callers under load although the router knows better. */
class PlacementUnderLoadTest {
    private static final long MILLI = 1_000_000L;

    private final RequestRouter router =
            RequestRouter.create(new ServingSettings("r1", "dc1", 1, 1.5, 5, 0.2, 60, 10_000, 2_000, 5_000));
    private long nowNanos = 1;
    private long lastRequestId;

    @BeforeEach
    void configure() {
        Route route = new Route("r", "h", "/", true, 800, 400, 1, 2, List.of(new Route.WeightedService("pooled", 1)));
        ServiceRules rules = new ServiceRules("pooled", "", 120, 0, 7, false, 0);
        handle(new ServingEvent.EvacuationsChanged(Set.of()));
        handle(new ServingEvent.TableChanged(
                new RoutingTable(1, List.of(route), Map.of("pooled", rules), new RequestLimits(1, 1, 1, 1))));
        handle(new ServingEvent.ServerChanged(server("s1", "dc1")));
        handle(new ServingEvent.ServerChanged(server("s2", "dc1")));
    }

    private static BackendServer server(String id, String dataCentre) {
        return new BackendServer(id, 7, "pooled", "10.0.0." + id.charAt(1), 80, dataCentre, 3, false, 0);
    }

    private List<ServingAction> handle(ServingEvent event) {
        return router.handle(event, nowNanos);
    }

    private String arrive() {
        RequestHead head = new RequestHead("h", "/x", 1_500, RequestHead.NO_KEY, 0, "id");
        return handle(new ServingEvent.RequestArrived(++lastRequestId, head, nowNanos)).stream()
                .filter(ServingAction.SendAttempt.class::isInstance)
                .map(action -> ((ServingAction.SendAttempt) action).server().id())
                .findFirst()
                .orElseThrow();
    }

    private void answerLast(long elapsedMillis, LoadReport load) {
        nowNanos += elapsedMillis * MILLI;
        handle(new ServingEvent.AttemptEnded(lastRequestId, 1, AttemptOutcome.ANSWERED, Optional.of(load)));
    }

    @Test
    void shouldSendNothingToAServerInASlowMomentWhileAnotherIsFree() {
        String slow = arrive();
        answerLast(100, new LoadReport(0, 0, 3, 300));

        for (int request = 0; request < 3; request++) {
            nowNanos += 100 * MILLI;
            assertThat(arrive()).isNotEqualTo(slow);
        }
    }

    @Test
    void shouldUseAServerAgainOnceItsSlowMomentIsOver() {
        String slow = arrive();
        answerLast(100, new LoadReport(0, 0, 3, 300));
        nowNanos += 500 * MILLI;

        assertThat(List.of(arrive(), arrive(), arrive(), arrive())).contains(slow);
    }

    private List<Long> refuse(int count, long timeLeftMillis) {
        List<Long> adviceMillis = new ArrayList<>();
        while (adviceMillis.size() < count) {
            RequestHead head = new RequestHead("h", "/x", timeLeftMillis, RequestHead.NO_KEY, 0, "id");
            handle(new ServingEvent.RequestArrived(++lastRequestId, head, nowNanos)).stream()
                    .filter(ServingAction.Reject.class::isInstance)
                    .forEach(action -> adviceMillis.add(((ServingAction.Reject) action).retryAfterMillis()));
        }
        return adviceMillis;
    }

    @Test
    void shouldAdviseRefusedCallersToReturnOneAfterTheOther() {
        List<Long> adviceMillis = refuse(10, 1_500);

        assertThat(adviceMillis).isSorted().doesNotHaveDuplicates();
        assertThat(adviceMillis.get(9) - adviceMillis.get(0)).isGreaterThan(150);
    }

    @Test
    void shouldAdviseNoCallerToWaitLongerThanAThirdOfTheTimeThatItHasLeft() {
        assertThat(refuse(50, 600)).allMatch(millis -> millis <= 200);
    }

    /** Leaves one server in each of two data centres and a route whose responses have 200 kB. */
    private void useLargeResponses() {
        handle(new ServingEvent.ServerRemoved("s2"));
        arrive();
        nowNanos += 100 * MILLI;
        handle(new ServingEvent.AttemptEnded(
                lastRequestId, 1, AttemptOutcome.ANSWERED, Optional.empty(), ServerNotice.NONE, 200_000));
        handle(new ServingEvent.ServerChanged(server("s3", "dc2")));
    }

    @Test
    void shouldKeepLargeResponsesInTheDataCentreWhileTheWaitThereIsShort() {
        useLargeResponses();

        assertThat(List.of(arrive(), arrive(), arrive(), arrive(), arrive())).containsOnly("s1");
    }

    @Test
    void shouldUseAnotherDataCentreRatherThanRefuseALargeResponse() {
        useLargeResponses();

        assertThat(Stream.generate(this::arrive).limit(11)).contains("s3");
    }
}
