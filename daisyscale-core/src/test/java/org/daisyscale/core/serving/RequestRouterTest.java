package org.daisyscale.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.daisyscale.core.error.CoreErrorCode;
import org.junit.jupiter.api.Test;

class RequestRouterTest {
    private static final long MILLI = 1_000_000L;

    private final RequestRouter router =
            RequestRouter.create(new ServingSettings("r1", "dc1", 1, 1.5, 5, 0.2, 60, 10_000, 2_000, 5_000));
    private long nowNanos = 1;

    private List<ServingAction> handle(ServingEvent event) {
        return router.handle(event, nowNanos);
    }

    private List<ServingAction> passTime(long millis) {
        nowNanos += millis * MILLI;
        return handle(new ServingEvent.TimePassed());
    }

    private static Route route(String name, boolean isIdempotent, Route.WeightedService... services) {
        return new Route(name, "h", "/" + name + "/", isIdempotent, 800, 400, 1, 2, List.of(services));
    }

    private static RoutingTable table(long version, Route... routes) {
        ServiceRules pooled = new ServiceRules("pooled", "/health", 120, 3_000, 7, false, 0);
        ServiceRules other = new ServiceRules("other", "/health", 120, 3_000, 7, false, 0);
        ServiceRules keyed = new ServiceRules("keyed", "/health", 120, 3_000, 7, true, 5_000);
        return new RoutingTable(
                version,
                List.of(routes),
                Map.of("pooled", pooled, "other", other, "keyed", keyed),
                new RequestLimits(16_384, 1 << 20, 3_000, 15_000));
    }

    private static Route.WeightedService to(String service, double weight) {
        return new Route.WeightedService(service, weight);
    }

    private static BackendServer server(String id, String service, boolean isDraining, long coldMillis) {
        return new BackendServer(id, 7, service, "10.0.0.1", 80, "dc1", 3, isDraining, coldMillis);
    }

    private void useTable() {
        join();
        handle(new ServingEvent.EvacuationsChanged(Set.of()));
        handle(new ServingEvent.TableChanged(table(
                5,
                route("pay", false, to("pooled", 1)),
                route("read", true, to("pooled", 1)),
                route("keys", true, to("keyed", 1)))));
    }

    /** Registers this router long enough ago that all routers count each other. */
    private void join() {
        handle(new ServingEvent.RegistrationRenewed(nowNanos - 10_000 * MILLI, nowNanos + 1_000 * MILLI));
        handle(new ServingEvent.RoutersConfirmed(nowNanos));
    }

    private void addServers(String... ids) {
        for (String id : ids) {
            handle(new ServingEvent.ServerChanged(server(id, "pooled", false, 0)));
        }
    }

    private List<ServingAction> arrive(long requestId, String path, int key) {
        RequestHead head = new RequestHead("h", path, 1_500, key, 0, "id");
        return handle(new ServingEvent.RequestArrived(requestId, head, nowNanos));
    }

    private List<ServingAction> arrive(long requestId, String path) {
        return arrive(requestId, path, RequestHead.NO_KEY);
    }

    private List<ServingAction> endAttempt(long requestId, int attempt, AttemptOutcome outcome) {
        return handle(new ServingEvent.AttemptEnded(requestId, attempt, outcome, Optional.empty()));
    }

    private static ServingAction.SendAttempt sentAttempt(List<ServingAction> actions) {
        return actions.stream()
                .filter(ServingAction.SendAttempt.class::isInstance)
                .map(ServingAction.SendAttempt.class::cast)
                .findFirst()
                .orElseThrow(() -> new AssertionError("no attempt was sent: " + actions));
    }

    private static CoreErrorCode rejection(List<ServingAction> actions) {
        return actions.stream()
                .filter(ServingAction.Reject.class::isInstance)
                .map(action -> ((ServingAction.Reject) action).reason())
                .findFirst()
                .orElseThrow(() -> new AssertionError("no request was rejected: " + actions));
    }

    @Test
    void shouldRejectAsNotReadyBeforeAnyConfigurationArrives() {
        assertThat(rejection(arrive(1, "/pay/1"))).isEqualTo(CoreErrorCode.NOT_READY);
    }

    @Test
    void shouldRejectARequestReadAfterItsCallerGaveUp() {
        useTable();
        addServers("s1");
        RequestHead head = new RequestHead("h", "/pay/1", 1_500, RequestHead.NO_KEY, 0, "id");

        List<ServingAction> inTime = handle(new ServingEvent.RequestArrived(1, head, nowNanos - 499 * MILLI));
        List<ServingAction> late = handle(new ServingEvent.RequestArrived(2, head, nowNanos - 500 * MILLI));

        assertThat(sentAttempt(inTime).server().id()).isEqualTo("s1");
        assertThat(rejection(late)).isEqualTo(CoreErrorCode.OVERLOADED);
    }

    @Test
    void shouldCountTheTimeOfARequestFromItsArrival() {
        useTable();
        addServers("s1");
        RequestHead head = new RequestHead("h", "/pay/1", 1_500, RequestHead.NO_KEY, 0, "id");

        List<ServingAction> actions = handle(new ServingEvent.RequestArrived(1, head, nowNanos - 400 * MILLI));

        assertThat(sentAttempt(actions).timeLeftMillis()).isEqualTo(400);
    }

    /** Guards against requests that wait in an overloaded router and reach a server after their callers have left. */
    @Test
    void shouldRejectARequestThatWasNotSentInTimeAndNotBlameTheServer() {
        useTable();
        addServers("s1");
        arrive(1, "/read/1");

        List<ServingAction> expired = endAttempt(1, 1, AttemptOutcome.EXPIRED);

        assertThat(rejection(expired)).isEqualTo(CoreErrorCode.OVERLOADED);
        assertThat(sentAttempt(arrive(2, "/read/2")).server().id()).isEqualTo("s1");
    }

    @Test
    void shouldIgnoreAnOlderConfiguration() {
        useTable();
        addServers("s1");

        handle(new ServingEvent.TableChanged(table(4)));

        assertThat(sentAttempt(arrive(1, "/pay/1")).server().id()).isEqualTo("s1");
    }

    @Test
    void shouldReportAnUnknownOutcomeWhenANonIdempotentRequestIsLost() {
        useTable();
        addServers("s1", "s2");
        arrive(1, "/pay/1");

        List<ServingAction> actions = endAttempt(1, 1, AttemptOutcome.LOST);

        assertThat(rejection(actions)).isEqualTo(CoreErrorCode.OUTCOME_UNKNOWN);
    }

    @Test
    void shouldSendANonIdempotentRequestToAnotherServerWhenTheFirstDidNotRunIt() {
        useTable();
        addServers("s1", "s2");
        String first = sentAttempt(arrive(1, "/pay/1")).server().id();

        List<ServingAction> actions = endAttempt(1, 1, AttemptOutcome.REFUSED_FULL);

        assertThat(sentAttempt(actions).server().id()).isNotEqualTo(first);
    }

    @Test
    void shouldNotSpendSharedRetriesBeforeOtherRoutersCountThisOne() {
        handle(new ServingEvent.EvacuationsChanged(Set.of()));
        handle(new ServingEvent.TableChanged(table(5, route("read", true, to("pooled", 1)))));
        addServers("s1", "s2");
        arrive(1, "/read/1");

        List<ServingAction> actions = endAttempt(1, 1, AttemptOutcome.SPOILED);

        assertThat(rejection(actions)).isEqualTo(CoreErrorCode.OUTCOME_UNKNOWN);
    }

    @Test
    void shouldRetryAnIdempotentRequestOnAnotherServerWhenItsAnswerIsUnusable() {
        useTable();
        addServers("s1", "s2");
        String first = sentAttempt(arrive(1, "/read/1")).server().id();

        List<ServingAction> actions = endAttempt(1, 1, AttemptOutcome.SPOILED);

        assertThat(sentAttempt(actions).server().id()).isNotEqualTo(first);
    }

    @Test
    void shouldNotSendToMoreServersThanTheRouteAllows() {
        useTable();
        addServers("s1", "s2", "s3");
        arrive(1, "/pay/1");
        endAttempt(1, 1, AttemptOutcome.REFUSED_FULL);

        List<ServingAction> actions = endAttempt(1, 2, AttemptOutcome.REFUSED_FULL);

        assertThat(rejection(actions)).isEqualTo(CoreErrorCode.REFUSED_BY_SERVER);
    }

    @Test
    void shouldEndARequestAtItsRoutesTimeout() {
        useTable();
        addServers("s1");
        arrive(1, "/pay/1");

        List<ServingAction> actions = passTime(801);

        assertThat(actions).contains(new ServingAction.CancelAttempt(1, 1));
        assertThat(rejection(actions)).isEqualTo(CoreErrorCode.TIMED_OUT);
    }

    @Test
    void shouldCancelOnlyIdempotentAttemptsWhenTheCallerDisconnects() {
        useTable();
        addServers("s1");
        arrive(1, "/pay/1");
        arrive(2, "/read/1");

        List<ServingAction> nonIdempotent = handle(new ServingEvent.CallerLeft(1));
        List<ServingAction> idempotent = handle(new ServingEvent.CallerLeft(2));

        assertThat(nonIdempotent).isEmpty();
        assertThat(idempotent).containsExactly(new ServingAction.CancelAttempt(2, 1));
    }

    @Test
    void shouldSendNothingToALeavingServer() {
        useTable();
        addServers("s1");

        handle(new ServingEvent.ServerChanged(server("s1", "pooled", true, 0)));

        assertThat(rejection(arrive(1, "/pay/1"))).isEqualTo(CoreErrorCode.NO_SERVER);
    }

    @Test
    void shouldSendNothingToAnEvacuatedDataCentre() {
        useTable();
        addServers("s1");

        handle(new ServingEvent.EvacuationsChanged(Set.of("dc1")));

        assertThat(rejection(arrive(1, "/pay/1"))).isEqualTo(CoreErrorCode.NO_SERVER);
    }

    @Test
    void shouldDistributeRequestsByTheWeightsOfARoute() {
        handle(new ServingEvent.EvacuationsChanged(Set.of()));
        handle(new ServingEvent.TableChanged(table(1, route("split", true, to("pooled", 90), to("other", 10)))));
        addServers("s1");
        handle(new ServingEvent.ServerChanged(server("o1", "other", false, 0)));

        List<String> servers = new ArrayList<>();
        for (long requestId = 1; requestId <= 100; requestId++) {
            servers.add(sentAttempt(arrive(requestId, "/split/1")).server().id());
            endAttempt(requestId, 1, AttemptOutcome.ANSWERED);
        }

        assertThat(servers).filteredOn("o1"::equals).hasSize(10);
    }

    @Test
    void shouldKeepRequestsToAColdServerWithinThisRoutersQuota() {
        useTable();
        handle(new ServingEvent.RoutersChanged(Set.of("r1", "r2", "r3", "r4")));
        join();
        handle(new ServingEvent.ServerChanged(server("s1", "pooled", false, 3_000)));

        long sentCount = 0;
        for (long requestId = 1; requestId <= 20; requestId++) {
            sentCount += arrive(requestId, "/read/1").stream()
                    .filter(ServingAction.SendAttempt.class::isInstance)
                    .count();
            endAttempt(requestId, 1, AttemptOutcome.ANSWERED);
        }

        assertThat(sentCount).isPositive().isLessThanOrEqualTo((long) (7 * 1.5 + 5) / 4);
    }

    @Test
    void shouldSendAKeyedRequestToTheOwnerOfItsKey() {
        useTable();
        handle(new ServingEvent.ServerChanged(server("k1", "keyed", false, 0)));
        handle(new ServingEvent.ServerChanged(server("k2", "keyed", false, 0)));
        handle(new ServingEvent.KeyMapChanged(map(1, owned(0, 99, "k1"), owned(100, 65_535, "k2"))));

        assertThat(sentAttempt(arrive(1, "/keys/1", 99)).server().id()).isEqualTo("k1");
        assertThat(sentAttempt(arrive(2, "/keys/1", 100)).server().id()).isEqualTo("k2");
    }

    @Test
    void shouldSendRequestsForAMovingRangeToItsPredecessorUntilThePredecessorRejectsThemAsNotOwner() {
        useTable();
        handle(new ServingEvent.ServerChanged(server("k1", "keyed", false, 0)));
        handle(new ServingEvent.ServerChanged(server("k2", "keyed", false, 0)));
        KeyAssignment moving = owned(0, 65_535, "k1").movedTo(owner("k2"), 9);
        handle(new ServingEvent.KeyMapChanged(map(2, moving)));

        String before = sentAttempt(arrive(1, "/keys/1", 5)).server().id();
        endAttempt(1, 1, AttemptOutcome.REFUSED_NOT_OWNER);
        List<ServingAction> actions = handle(new ServingEvent.KeyMapChanged(map(3, moving.settled())));

        assertThat(before).isEqualTo("k1");
        nowNanos += 100 * MILLI;
        assertThat(sentAttempt(concat(actions, passTime(10))).server().id()).isEqualTo("k2");
    }

    private static List<ServingAction> concat(List<ServingAction> first, List<ServingAction> second) {
        List<ServingAction> all = new ArrayList<>(first);
        all.addAll(second);
        return all;
    }

    private static KeyAssignment.Owner owner(String id) {
        return new KeyAssignment.Owner(id, 7, "10.0.0.1", 80);
    }

    private static KeyAssignment owned(int firstKey, int lastKey, String ownerId) {
        return new KeyAssignment(firstKey, lastKey, owner(ownerId), 1, true, List.of());
    }

    private static KeyMap map(long version, KeyAssignment... assignments) {
        return new KeyMap("keyed", version, 0, 10, List.of(assignments));
    }
}
