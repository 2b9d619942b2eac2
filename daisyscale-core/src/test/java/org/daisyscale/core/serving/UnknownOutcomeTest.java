package org.daisyscale.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.daisyscale.core.error.CoreErrorCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A request that may have run at any server is never rejected as not run. */
class UnknownOutcomeTest {
    private static final long MILLI = 1_000_000L;
    private static final long TIMEOUT_MILLIS = 800;

    private final RequestRouter router =
            RequestRouter.create(new ServingSettings("r1", "dc1", 1, 1.5, 5, 0.2, 60, 10_000, 2_000, 5_000));
    private long nowNanos = 1;

    UnknownOutcomeTest() {
        handle(new ServingEvent.RegistrationRenewed(nowNanos - 10_000 * MILLI, nowNanos + 1_000 * MILLI));
        handle(new ServingEvent.RoutersConfirmed(nowNanos));
        handle(new ServingEvent.EvacuationsChanged(Set.of()));
        handle(new ServingEvent.TableChanged(new RoutingTable(
                5,
                List.of(route("pay", "pooled", false), route("read", "pooled", true), route("keyed", "keyed", false)),
                Map.of(
                        "pooled", new ServiceRules("pooled", "/health", 120, 3_000, 7, false, 0),
                        "keyed", new ServiceRules("keyed", "/health", 120, 3_000, 7, true, 0)),
                new RequestLimits(16_384, 1 << 20, 3_000, 15_000))));
        List.of("s1", "s2", "s3").forEach(this::add);
    }

    private static Route route(String name, String service, boolean isIdempotent) {
        List<Route.WeightedService> services = List.of(new Route.WeightedService(service, 1));
        return new Route(name, "h", "/" + name + "/", isIdempotent, TIMEOUT_MILLIS, 400, 1, 2, services);
    }

    private void add(String serverId) {
        handle(new ServingEvent.ServerChanged(
                new BackendServer(serverId, 7, "pooled", "10.0.0.1", 80, "dc1", 3, false, 0)));
    }

    private List<ServingAction> handle(ServingEvent event) {
        return router.handle(event, nowNanos);
    }

    private List<ServingAction> arrive(String path) {
        RequestHead head = new RequestHead("h", path, 1_500, RequestHead.NO_KEY, 0, "id");
        return handle(new ServingEvent.RequestArrived(1, head, nowNanos));
    }

    private List<ServingAction> endAttempt(int attempt, AttemptOutcome outcome) {
        return handle(new ServingEvent.AttemptEnded(1, attempt, outcome, Optional.empty()));
    }

    private List<ServingAction> passTimeout() {
        nowNanos += TIMEOUT_MILLIS * MILLI;
        return handle(new ServingEvent.TimePassed());
    }

    private static List<CoreErrorCode> rejections(List<ServingAction> actions) {
        return actions.stream()
                .filter(ServingAction.Reject.class::isInstance)
                .map(action -> ((ServingAction.Reject) action).reason())
                .toList();
    }

    private static boolean isSent(List<ServingAction> actions) {
        return actions.stream().anyMatch(ServingAction.SendAttempt.class::isInstance);
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {"REFUSED_FULL", "REFUSED_NOT_OWNER", "REFUSED"})
    void shouldReportAnUnknownOutcomeWhenARequestIsLostAtOneServerAndRefusedByTheNext(AttemptOutcome refusal) {
        arrive("/read/1");
        List<ServingAction> afterLoss = endAttempt(1, AttemptOutcome.LOST);

        List<ServingAction> afterRefusal = endAttempt(2, refusal);

        assertThat(isSent(afterLoss)).isTrue();
        assertThat(rejections(afterRefusal)).containsExactly(CoreErrorCode.OUTCOME_UNKNOWN);
    }

    @Test
    void shouldReportAnUnknownOutcomeWhenARequestIsLostAtOneServerAndNotSentInTimeToTheNext() {
        arrive("/read/1");
        endAttempt(1, AttemptOutcome.LOST);

        assertThat(rejections(endAttempt(2, AttemptOutcome.EXPIRED))).containsExactly(CoreErrorCode.OUTCOME_UNKNOWN);
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {"REFUSED_FULL", "REFUSED_NOT_OWNER", "REFUSED", "NOT_SENT", "CONNECTION_REFUSED"})
    void shouldReportATimeoutWhileTheAttemptAfterARefusalIsInFlight(AttemptOutcome notRun) {
        arrive("/pay/1");
        List<ServingAction> afterRefusal = endAttempt(1, notRun);

        List<ServingAction> atDeadline = passTimeout();

        assertThat(isSent(afterRefusal)).isTrue();
        assertThat(rejections(atDeadline)).containsExactly(CoreErrorCode.TIMED_OUT);
    }

    @Test
    void shouldSayNothingMoreWhenARefusalComesAfterTheDeadline() {
        arrive("/pay/1");
        passTimeout();

        assertThat(endAttempt(1, AttemptOutcome.REFUSED_FULL)).isEmpty();
    }

    @Test
    void shouldNotTakeTheEndOfAnEarlierAttemptForTheEndOfTheOneInFlight() {
        arrive("/pay/1");
        endAttempt(1, AttemptOutcome.REFUSED_FULL);

        List<ServingAction> repeated = endAttempt(1, AttemptOutcome.REFUSED_FULL);

        assertThat(isSent(repeated)).isFalse();
        assertThat(rejections(repeated)).isEmpty();
    }

    @Test
    void shouldReportAnUnknownOutcomeOfASentRequestWhenTheProcessEnds() {
        arrive("/pay/1");

        assertThat(rejections(handle(new ServingEvent.StopDue()))).containsExactly(CoreErrorCode.OUTCOME_UNKNOWN);
        assertThat(handle(new ServingEvent.StopDue())).isEmpty();
    }

    @Test
    void shouldRejectARequestThatWaitsForTheOwnerOfItsKeyAsNotRunWhenTheProcessEnds() {
        BackendServer server = new BackendServer("k1", 7, "keyed", "10.0.0.2", 80, "dc1", 3, false, 0);
        handle(new ServingEvent.ServerChanged(server));
        KeyAssignment moving = KeyAssignment.first(0, KeyMap.KEY_COUNT - 1, KeyAssignment.Owner.of(server), 1);
        handle(new ServingEvent.KeyMapChanged(new KeyMap("keyed", 1, 0, 2, List.of(moving))));
        RequestHead head = new RequestHead("h", "/keyed/1", 1_500, 7, 0, "id");
        assertThat(handle(new ServingEvent.RequestArrived(1, head, nowNanos))).isEmpty();

        assertThat(rejections(handle(new ServingEvent.StopDue()))).containsExactly(CoreErrorCode.STOPPING);
    }
}
