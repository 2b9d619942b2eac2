package org.daisyscale.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.quota.QuotaGrant;
import org.daisyscale.core.quota.QuotaReport;
import org.daisyscale.core.quota.QuotaSettings;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests of an organisation that run without a credit, and against ones that wait too long for it. */
class AllowanceTest {
    private static final long MILLI = 1_000_000L;
    private static final long TERM = 77;
    private static final ApiKeyDigest LIMITED = ApiKeyDigest.of("secret-1");
    private static final ApiKeyDigest UNLIMITED = ApiKeyDigest.of("secret-2");
    /** The latency objective of the route, in milliseconds; an eighth of it is 50 ms. */
    private static final int OBJECTIVE_MILLIS = 400;

    private final RequestRouter router = RequestRouter.create(new ServingSettings(
            "r1", "dc1", 5, 1.5, 5, 0.2, 60, 10_000, 2_000, 5_000, new QuotaSettings(5_000, 0.1, 20)));
    private long nowNanos = 1;
    private long grantSequence;
    /** The latest report to the controller. */
    private QuotaReport report;

    @BeforeEach
    void useOrganisations() {
        Route route = new Route(
                "pay",
                "h",
                "/pay/",
                true,
                3_000,
                OBJECTIVE_MILLIS,
                1,
                2,
                List.of(new Route.WeightedService("pooled", 1)),
                false);
        OrganisationTable organisations = new OrganisationTable(
                true,
                Map.of(
                        "bakers", new Organisation("bakers", Set.of(LIMITED), -1, new Allowance(4, 2)),
                        "drivers", new Organisation("drivers", Set.of(UNLIMITED), -1, Allowance.UNLIMITED)));
        RoutingTable table = new RoutingTable(
                1,
                List.of(route),
                Map.of("pooled", new ServiceRules("pooled", "/health", 120, 3_000, 7, false, 0)),
                new RequestLimits(16_384, 1 << 20, 3_000, 15_000),
                organisations);
        handle(new ServingEvent.EvacuationsChanged(Set.of()));
        handle(new ServingEvent.TableChanged(table));
        handle(new ServingEvent.ConfigurationConfirmed(nowNanos));
        handle(new ServingEvent.ServersListed(List.of(
                new BackendServer("i-1", 1, "pooled", "10.0.0.1", 80, "dc1", 3, false, 0),
                new BackendServer("i-2", 1, "pooled", "10.0.0.2", 80, "dc1", 3, false, 0))));
        handle(new ServingEvent.QuotaGranted(new QuotaGrant(5, TERM, 0, 0, true, List.of())));
        pass(20);
    }

    private List<ServingAction> handle(ServingEvent event) {
        List<ServingAction> actions = router.handle(event, nowNanos);
        actions.stream()
                .filter(ServingAction.ReportQuota.class::isInstance)
                .forEach(action -> report = ((ServingAction.ReportQuota) action).report());
        return actions;
    }

    /** Lets the router know that it is the only one, so that it has the retry budget and the local reserve. */
    private void confirmMembership() {
        long secondNanos = 1_000 * MILLI;
        handle(new ServingEvent.RegistrationRenewed(nowNanos - 10 * secondNanos, nowNanos + 10 * secondNanos));
        handle(new ServingEvent.RoutersConfirmed(nowNanos));
    }

    private List<ServingAction> pass(long millis) {
        nowNanos += millis * MILLI;
        return handle(new ServingEvent.TimePassed());
    }

    private List<ServingAction> arrive(long requestId, ApiKeyDigest key) {
        RequestHead head = new RequestHead("h", "/pay/1", 3_000, RequestHead.NO_KEY, 0, "id", key);
        return handle(new ServingEvent.RequestArrived(requestId, head, nowNanos));
    }

    private List<ServingAction> endAttempt(long requestId, int attempt, AttemptOutcome outcome) {
        return handle(new ServingEvent.AttemptEnded(requestId, attempt, outcome, Optional.empty()));
    }

    /** Lets time pass until the router asks for credits, and replies. */
    private List<ServingAction> grant(long count, long retryAfterMillis) {
        pass(20);
        assertThat(report.usages()).anyMatch(usage -> usage.wantedCount() > 0);
        QuotaGrant.Share share = new QuotaGrant.Share("bakers", 1, count, retryAfterMillis);
        return handle(new ServingEvent.QuotaGranted(
                new QuotaGrant(5, TERM, ++grantSequence, report.sequence(), false, List.of(share))));
    }

    private static <T extends ServingAction> T find(List<ServingAction> actions, Class<T> type) {
        assertThat(actions).hasAtLeastOneElementOfType(type);
        return actions.stream()
                .filter(type::isInstance)
                .map(type::cast)
                .findFirst()
                .orElseThrow();
    }

    private static boolean isSent(List<ServingAction> actions) {
        return actions.stream().anyMatch(ServingAction.SendAttempt.class::isInstance);
    }

    @Test
    void shouldSendARequestOnceACreditIsGranted() {
        assertThat(isSent(arrive(1, LIMITED))).isFalse();

        assertThat(isSent(grant(1, 0))).isTrue();
    }

    @Test
    void shouldRejectWithTheTimeAfterWhichThereIsRoomWhenTheAllowanceIsUsed() {
        arrive(1, LIMITED);

        ServingAction.Reject first = find(grant(0, 700), ServingAction.Reject.class);
        ServingAction.Reject second = find(arrive(2, LIMITED), ServingAction.Reject.class);

        assertThat(first.reason()).isEqualTo(CoreErrorCode.ALLOWANCE_EXCEEDED);
        assertThat(first.retryAfterMillis()).isBetween(700L, 850L);
        assertThat(second.reason()).isEqualTo(CoreErrorCode.ALLOWANCE_EXCEEDED);
    }

    @Test
    void shouldRejectAfterAnEighthOfTheObjectiveWithoutAReply() {
        arrive(1, LIMITED);
        assertThat(pass(OBJECTIVE_MILLIS / 8 - 1)).noneMatch(ServingAction.Reject.class::isInstance);

        ServingAction.Reject rejection = find(pass(1), ServingAction.Reject.class);

        assertThat(rejection.reason()).isEqualTo(CoreErrorCode.ALLOWANCE_UNCERTAIN);
        assertThat(rejection.retryAfterMillis()).isPositive();
    }

    @Test
    void shouldUseTheLocalReserveWithoutAReply() {
        confirmMembership();
        arrive(1, LIMITED);

        assertThat(isSent(pass(OBJECTIVE_MILLIS / 8))).isTrue();
    }

    @Test
    void shouldUseTheCreditOfARequestThatCertainlyDidNotRunAgain() {
        arrive(1, LIMITED);
        grant(1, 0);

        assertThat(isSent(endAttempt(1, 1, AttemptOutcome.NOT_SENT))).isTrue();
        endAttempt(1, 2, AttemptOutcome.ANSWERED);
        assertThat(isSent(arrive(2, LIMITED))).isFalse();
    }

    @Test
    void shouldNotRepeatAnAttemptThatMayHaveRunWithoutASecondCredit() {
        arrive(1, LIMITED);
        grant(1, 0);

        List<ServingAction> actions = endAttempt(1, 1, AttemptOutcome.LOST);

        assertThat(isSent(actions)).isFalse();
        assertThat(find(actions, ServingAction.Reject.class).reason()).isEqualTo(CoreErrorCode.OUTCOME_UNKNOWN);
    }

    @Test
    void shouldRepeatAnAttemptThatMayHaveRunOnASecondCredit() {
        confirmMembership();
        arrive(1, LIMITED);
        grant(2, 0);

        assertThat(isSent(endAttempt(1, 1, AttemptOutcome.LOST))).isTrue();
    }

    @Test
    void shouldNotSpendCreditsAfterTheirExpiryOrASuspension() {
        arrive(1, LIMITED);
        grant(3, 0);
        handle(new ServingEvent.Suspended());
        assertThat(isSent(arrive(2, LIMITED))).isFalse();

        assertThat(isSent(grant(3, 0))).isTrue();
        pass(3_000);
        assertThat(isSent(arrive(3, LIMITED))).isFalse();
    }

    @Test
    void shouldTakeNoStepForOrganisationsWithoutAnAllowance() {
        pass(1_000);

        List<ServingAction> actions = arrive(1, UNLIMITED);

        assertThat(isSent(actions)).isTrue();
        assertThat(actions).noneMatch(ServingAction.ReportQuota.class::isInstance);
    }
}
