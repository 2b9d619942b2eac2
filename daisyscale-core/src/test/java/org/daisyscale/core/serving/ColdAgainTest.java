package org.daisyscale.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Guards against floods of servers that turn cold again, which their entries in the store say only later. */
class ColdAgainTest {
    private static final long MILLI = 1_000_000L;
    private static final BackendServer SERVER =
            new BackendServer("s1", 7, "pooled", "10.0.0.1", 80, "dc1", 3, false, 0);
    private static final long SERVICE_MILLIS = 60;
    /** Requests that a cold server may get in one second: 7 a second, burst factor 1.5, slack 5. */
    private static final double COLD_LIMIT = 15.5;

    private final List<RequestRouter> routers = new ArrayList<>();
    private final List<Long> sentNanos = new ArrayList<>();
    private long nowNanos = 1;
    private long coldUntilNanos;
    private long lastRequestId;
    private boolean areConnected = true;

    /** Starts routers that tell each other what they learn and, if {@code isCounted}, share the limits. */
    private void startRouters(int count, boolean isCounted) {
        ServiceRules rules = new ServiceRules("pooled", "/health", 120, 3_000, 7, false, 0);
        Route route =
                new Route("read", "h", "/", true, 800, 400, 1, 2, List.of(new Route.WeightedService("pooled", 1)));
        List<String> ids =
                IntStream.range(0, count).mapToObj(index -> "r" + index).toList();
        for (String id : ids) {
            RequestRouter router =
                    RequestRouter.create(new ServingSettings(id, "dc1", 1, 1.5, 5, 0.2, 60, 10_000, 2_000, 5_000));
            routers.add(router);
            handle(router, new ServingEvent.EvacuationsChanged(Set.of()));
            handle(
                    router,
                    new ServingEvent.TableChanged(new RoutingTable(
                            1,
                            List.of(route),
                            Map.of("pooled", rules),
                            new RequestLimits(16_384, 1 << 20, 3_000, 15_000))));
            handle(router, new ServingEvent.ServerChanged(SERVER));
            handle(router, new ServingEvent.RoutersChanged(Set.copyOf(ids)));
            if (isCounted) {
                handle(router, new ServingEvent.RegistrationRenewed(nowNanos - 10_000 * MILLI, Long.MAX_VALUE / 2));
            }
        }
    }

    private List<ServingAction> handle(RequestRouter router, ServingEvent event) {
        List<ServingAction> actions = router.handle(event, nowNanos);
        for (ServingAction action : actions) {
            if (action instanceof ServingAction.SendAttempt) {
                sentNanos.add(nowNanos);
            } else if (action instanceof ServingAction.CheckHealth) {
                long coldLeftMillis = Math.max(0, (coldUntilNanos - nowNanos) / MILLI);
                handle(router, new ServingEvent.HealthReported(SERVER, new HealthReport("s1", coldLeftMillis)));
            } else if (action instanceof ServingAction.ShareNews share && areConnected) {
                routers.stream()
                        .filter(other -> !other.equals(router))
                        .forEach(other -> other.handle(new ServingEvent.NewsReceived(share.news()), nowNanos));
            }
        }
        return actions;
    }

    /** Sends requests, one each {@code gapMillis} at the routers in turn, and answers those that are sent. */
    private void sendRequests(long durationMillis, long gapMillis) {
        long endNanos = nowNanos + durationMillis * MILLI;
        List<Runnable> answers = new ArrayList<>();
        List<Long> dueNanos = new ArrayList<>();
        while (nowNanos < endNanos) {
            nowNanos += gapMillis * MILLI;
            while (!dueNanos.isEmpty() && dueNanos.get(0) <= nowNanos) {
                dueNanos.remove(0);
                answers.remove(0).run();
            }
            RequestRouter router = routers.get((int) (lastRequestId % routers.size()));
            handle(router, new ServingEvent.RoutersConfirmed(nowNanos));
            long requestId = ++lastRequestId;
            if (isSent(router, requestId)) {
                dueNanos.add(nowNanos + SERVICE_MILLIS * MILLI);
                answers.add(() -> handle(
                        router,
                        new ServingEvent.AttemptEnded(
                                requestId, 1, AttemptOutcome.ANSWERED, Optional.of(new LoadReport(2, 0, 3)))));
            }
        }
    }

    private boolean isSent(RequestRouter router, long requestId) {
        RequestHead head = new RequestHead("h", "/x", 1_500, RequestHead.NO_KEY, 0, "id");
        return handle(router, new ServingEvent.RequestArrived(requestId, head, nowNanos)).stream()
                .anyMatch(ServingAction.SendAttempt.class::isInstance);
    }

    private long mostInOneSecondSince(long fromNanos) {
        List<Long> counted =
                sentNanos.stream().filter(sent -> sent >= fromNanos).toList();
        return counted.stream()
                .mapToLong(first -> counted.stream()
                        .filter(sent -> sent >= first && sent - first < 1_000 * MILLI)
                        .count())
                .max()
                .orElse(0);
    }

    private void turnCold() {
        coldUntilNanos = nowNanos + 3_000 * MILLI;
    }

    @Test
    void shouldStayBelowTheLimitOfAServerThatTurnsColdUnderLoad() {
        startRouters(2, true);
        sendRequests(3_000, 33);
        long coldNanos = nowNanos;

        turnCold();
        sendRequests(2_500, 33);

        assertThat((double) mostInOneSecondSince(coldNanos)).isLessThanOrEqualTo(COLD_LIMIT);
    }

    @Test
    void shouldSendNothingMoreToAServerThatTurnsColdFromARouterThatIsNotCounted() {
        startRouters(1, false);
        sendRequests(2_000, 200);

        turnCold();
        sendRequests(400, 200);
        long knownNanos = nowNanos + 1;
        sendRequests(2_000, 200);

        assertThat(mostInOneSecondSince(knownNanos)).isZero();
    }

    /** An evacuation that ended while all routers were down has left servers cold whose entries don't say so yet. */
    @Test
    @Tag("known-red")
    void shouldStayBelowTheLimitOfAColdServerWhoseEntrySaysWarmWhenAllRoutersHaveJustStarted() {
        turnCold();
        areConnected = false;
        startRouters(20, false);

        sendRequests(1_000, 33);

        assertThat((double) mostInOneSecondSince(0)).isLessThanOrEqualTo(COLD_LIMIT);
    }

    @Test
    void shouldNotCheckAServerThatGetsLessThanAColdOneMay() {
        startRouters(1, true);
        handle(routers.get(0), new ServingEvent.RoutersConfirmed(nowNanos));
        RequestHead head = new RequestHead("h", "/x", 1_500, RequestHead.NO_KEY, 0, "id");

        List<ServingAction> actions = handle(routers.get(0), new ServingEvent.RequestArrived(1, head, nowNanos));

        assertThat(actions).noneMatch(ServingAction.CheckHealth.class::isInstance);
    }

    @Test
    void shouldIgnoreTheHealthOfAnotherServerAtTheAddress() {
        startRouters(1, false);

        List<ServingAction> actions =
                handle(routers.get(0), new ServingEvent.HealthReported(SERVER, new HealthReport("s2", 2_000)));
        sendRequests(100, 50);

        assertThat(actions).isEmpty();
        assertThat(sentNanos).isNotEmpty();
    }
}
