package org.daisyscale.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against all routers together sending a cold server more requests than its limit. */
class ColdServerQuotaTest {
    private static final long MILLI = 1_000_000L;
    private static final int ROUTER_COUNT = 12;
    private static final Set<String> ROUTER_IDS =
            IntStream.range(0, ROUTER_COUNT).mapToObj(index -> "r" + index).collect(Collectors.toSet());
    private static final double LIMIT = 7 * 1.5 + 5;

    private final Map<String, RequestRouter> routerById =
            ROUTER_IDS.stream().collect(Collectors.toMap(id -> id, ColdServerQuotaTest::router));
    private long nowNanos = 1;
    private long nextRequestId;

    private static RequestRouter router(String id) {
        return RequestRouter.create(new ServingSettings(id, "dc1", 1, 1.5, 5, 0.2, 60, 10_000, 2_000, 5_000));
    }

    private void handle(String routerId, ServingEvent event) {
        routerById.get(routerId).handle(event, nowNanos);
    }

    private void handleAtAll(ServingEvent event) {
        ROUTER_IDS.forEach(id -> handle(id, event));
    }

    private void useTable() {
        Route route =
                new Route("pay", "h", "/", false, 800, 400, 1, 2, List.of(new Route.WeightedService("pooled", 1)));
        ServiceRules rules = new ServiceRules("pooled", "/health", 120, 3_000, 7, false, 0);
        handleAtAll(new ServingEvent.EvacuationsChanged(Set.of()));
        handleAtAll(new ServingEvent.TableChanged(new RoutingTable(
                1, List.of(route), Map.of("pooled", rules), new RequestLimits(16_384, 1 << 20, 3_000, 15_000))));
    }

    /** Gives all routers a registration that every router knows, and the complete list of routers. */
    private void joinAll() {
        handleAtAll(new ServingEvent.RoutersChanged(ROUTER_IDS));
        handleAtAll(new ServingEvent.RegistrationRenewed(nowNanos - 10_000 * MILLI, nowNanos + 1_300 * MILLI));
        handleAtAll(new ServingEvent.RoutersConfirmed(nowNanos));
    }

    private void register(long coldMillis) {
        handleAtAll(new ServingEvent.ServerChanged(
                new BackendServer("s1", 7, "pooled", "10.0.0.1", 80, "dc1", 3, false, coldMillis)));
    }

    /** Returns how many requests reach the server when each of {@code routerIds} gets twenty. */
    private long sentBy(Set<String> routerIds) {
        return routerIds.stream().mapToLong(this::sentByOne).sum();
    }

    private long sentByOne(String routerId) {
        return IntStream.range(0, 20).filter(index -> isSentBy(routerId)).count();
    }

    /** Returns whether the router sends one more request, which is answered at once. */
    private boolean isSentBy(String routerId) {
        RequestHead head = new RequestHead("h", "/x", 1_500, RequestHead.NO_KEY, 0, "id");
        long requestId = ++nextRequestId;
        boolean isSent =
                routerById
                        .get(routerId)
                        .handle(new ServingEvent.RequestArrived(requestId, head, nowNanos), nowNanos)
                        .stream()
                        .anyMatch(ServingAction.SendAttempt.class::isInstance);
        handle(routerId, new ServingEvent.AttemptEnded(requestId, 1, AttemptOutcome.ANSWERED, Optional.empty()));
        return isSent;
    }

    @Test
    void shouldKeepTheTotalBelowTheLimitBeforeRoutersKnowEachOther() {
        useTable();
        register(3_000);

        assertThat(sentBy(ROUTER_IDS)).isLessThanOrEqualTo((long) LIMIT);
    }

    @Test
    void shouldCountDepartedRoutersWhileTheirLastRequestsAreInTheWindow() {
        useTable();
        joinAll();
        register(5_000);

        long before = sentBy(ROUTER_IDS);
        handleAtAll(new ServingEvent.RoutersChanged(Set.of("r0", "r1")));
        nowNanos += 500 * MILLI;
        long after = sentBy(Set.of("r0", "r1"));

        assertThat(before + after).isLessThanOrEqualTo((long) LIMIT);
    }

    @Test
    void shouldSendRequestsToAColdServerOnceAllRoutersCountEachOther() {
        useTable();
        joinAll();
        register(5_000);

        assertThat(sentBy(ROUTER_IDS)).isBetween((long) (0.7 * LIMIT), (long) LIMIT);
    }

    @Test
    void shouldSendNothingToAColdServerOnceTheRoutersOwnRegistrationMayHaveExpired() {
        useTable();
        joinAll();
        register(5_000);

        nowNanos += 1_300 * MILLI;
        handleAtAll(new ServingEvent.RoutersConfirmed(nowNanos));

        assertThat(sentBy(ROUTER_IDS)).isZero();
    }

    @Test
    void shouldSendNothingToAColdServerWhileTheRouterListIsStale() {
        useTable();
        joinAll();
        register(5_000);

        nowNanos += 2_000 * MILLI;
        handleAtAll(new ServingEvent.RegistrationRenewed(nowNanos - 10_000 * MILLI, nowNanos + 1_300 * MILLI));

        assertThat(sentBy(ROUTER_IDS)).isZero();
    }

    /** Guards against ages that lie: a list that was complete long ago counted as complete when that was handled. */
    @Test
    void shouldSendNothingToAColdServerWhenItLearnsLateThatTheRouterListWasComplete() {
        useTable();
        joinAll();
        register(5_000);
        long completeNanos = nowNanos;

        nowNanos += 2_000 * MILLI;
        handleAtAll(new ServingEvent.RegistrationRenewed(nowNanos - 10_000 * MILLI, nowNanos + 1_300 * MILLI));
        handleAtAll(new ServingEvent.RoutersConfirmed(completeNanos));

        assertThat(sentBy(ROUTER_IDS)).isZero();
    }

    @Test
    void shouldCountRequestsThatWereSentBeforeTheServerWasKnownToBeCold() {
        useTable();
        joinAll();
        register(0);

        long before = sentBy(ROUTER_IDS);
        register(3_000);
        long after = sentBy(ROUTER_IDS);

        assertThat(before).isPositive();
        assertThat(after).isZero();
    }

    @Test
    void shouldCountEarlierRequestsToAColdServerThatRegistersAgain() {
        useTable();
        joinAll();
        register(5_000);

        long before = sentBy(ROUTER_IDS);
        handleAtAll(new ServingEvent.ServerRemoved("s1"));
        nowNanos += 100 * MILLI;
        register(4_900);
        long after = sentBy(ROUTER_IDS);

        assertThat(before).isPositive();
        assertThat(before + after).isLessThanOrEqualTo((long) LIMIT);
    }
}
