package org.daisyscale.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.daisyscale.core.error.CoreErrorCode;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that run for the wrong organisation or without one, and against a 401 by a router whose
 * configuration may lack the key.
 */
class ApiKeyTest {
    private static final long MILLI = 1_000_000L;
    private static final RequestLimits LIMITS = new RequestLimits(16_384, 1 << 20, 3_000, 15_000);

    private final RequestRouter router =
            RequestRouter.create(new ServingSettings("r1", "dc1", 1, 1.5, 5, 0.2, 60, 10_000, 2_000, 5_000));
    private long nowNanos = 1;

    private static Organisation organisation(String name, int priority, String... keys) {
        Set<ApiKeyDigest> digests = new java.util.HashSet<>();
        for (String key : keys) {
            digests.add(ApiKeyDigest.of(key));
        }
        return new Organisation(name, digests, priority, Allowance.UNLIMITED);
    }

    private static Route route(String name, boolean isPublic) {
        return new Route(
                name,
                "h",
                "/" + name + "/",
                false,
                800,
                400,
                1,
                2,
                List.of(new Route.WeightedService("pooled", 1)),
                isPublic);
    }

    private static RoutingTable table(long version, Organisation... organisations) {
        Map<String, Organisation> byName = new HashMap<>();
        for (Organisation organisation : organisations) {
            byName.put(organisation.name(), organisation);
        }
        ServiceRules pooled = new ServiceRules("pooled", "/health", 120, 3_000, 7, false, 0);
        return new RoutingTable(
                version,
                List.of(route("pay", false), route("news", true)),
                Map.of("pooled", pooled),
                LIMITS,
                new OrganisationTable(true, byName));
    }

    private void use(RoutingTable table) {
        router.handle(new ServingEvent.EvacuationsChanged(Set.of()), nowNanos);
        router.handle(new ServingEvent.TableChanged(table), nowNanos);
        router.handle(new ServingEvent.ConfigurationConfirmed(nowNanos), nowNanos);
        BackendServer server = new BackendServer("i-1", 1, "pooled", "10.0.0.1", 80, "dc1", 3, false, 0);
        router.handle(new ServingEvent.ServersListed(List.of(server)), nowNanos);
    }

    private List<ServingAction> arrive(String path, ApiKeyDigest key) {
        RequestHead head = new RequestHead("h", path, 1_500, RequestHead.NO_KEY, 0, "id", key);
        return router.handle(new ServingEvent.RequestArrived(1, head, nowNanos), nowNanos);
    }

    private static CoreErrorCode reason(List<ServingAction> actions) {
        return ((ServingAction.Reject) actions.get(0)).reason();
    }

    private static CallerIdentity caller(List<ServingAction> actions) {
        return ((ServingAction.SendAttempt) actions.get(0)).caller();
    }

    @Test
    void shouldSendARequestForTheOrganisationThatHoldsItsKey() {
        use(table(1, organisation("bakers", -1, "k1", "k2"), organisation("drivers", -1, "k3")));

        assertThat(caller(arrive("/pay/1", ApiKeyDigest.of("k2"))).organisation())
                .isEqualTo("bakers");
    }

    @Test
    void shouldRejectAnUnknownOrMissingKeyWhileTheConfigurationIsCurrent() {
        use(table(1, organisation("bakers", -1, "k1")));

        assertThat(reason(arrive("/pay/1", ApiKeyDigest.of("other")))).isEqualTo(CoreErrorCode.UNKNOWN_API_KEY);
        assertThat(reason(arrive("/pay/1", ApiKeyDigest.NONE))).isEqualTo(CoreErrorCode.UNKNOWN_API_KEY);
    }

    @Test
    void shouldNotRejectAKeyForGoodWhileTheConfigurationMayBeOutOfDate() {
        use(table(1, organisation("bakers", -1, "k1")));
        nowNanos += 5_000 * MILLI;

        List<ServingAction> actions = arrive("/pay/1", ApiKeyDigest.of("k9"));

        assertThat(reason(actions)).isEqualTo(CoreErrorCode.API_KEY_UNCERTAIN);
        assertThat(((ServingAction.Reject) actions.get(0)).retryAfterMillis()).isPositive();
    }

    @Test
    void shouldClaimNoOrganisationOnAPublicRoute() {
        use(table(1, organisation("bakers", -1, "k1")));

        assertThat(caller(arrive("/news/1", ApiKeyDigest.of("k1")))).isEqualTo(CallerIdentity.PUBLIC);
    }

    @Test
    void shouldPassOnWhatCallersSayWithoutOrganisations() {
        use(new RoutingTable(1, List.of(route("pay", false)), table(1).services(), LIMITS));

        assertThat(caller(arrive("/pay/1", ApiKeyDigest.NONE))).isEqualTo(CallerIdentity.UNVERIFIED);
    }

    /** A removed key must not come back with a late older version. */
    @Test
    void shouldNeverAcceptARemovedKeyAgain() {
        use(table(1, organisation("bakers", -1, "old", "new")));
        use(table(2, organisation("bakers", -1, "new")));
        use(table(1, organisation("bakers", -1, "old", "new")));

        assertThat(reason(arrive("/pay/1", ApiKeyDigest.of("old")))).isEqualTo(CoreErrorCode.UNKNOWN_API_KEY);
        assertThat(caller(arrive("/pay/1", ApiKeyDigest.of("new"))).organisation())
                .isEqualTo("bakers");
    }

    @Test
    void shouldNotWriteAKeyOrItsWholeDigestAsText() {
        ApiKeyDigest digest = ApiKeyDigest.of("k1");

        assertThat(organisation("bakers", -1, "k1").toString())
                .contains(digest.hex().substring(0, 8))
                .doesNotContain(digest.hex())
                .doesNotContain("k1");
    }

    @Test
    void shouldSendOnlyTheOrganisationsThatChangedBetweenVersions() {
        RoutingTable older = table(1, organisation("a", -1, "k1"), organisation("b", -1, "k2"), organisation("c", -1));
        RoutingTable newer = table(2, organisation("a", -1, "k3"), organisation("c", -1));
        RoutingTableHistory history = new RoutingTableHistory();
        history.add(older, 10);
        history.add(newer, 11);

        RoutingTableChange change = history.changeFrom(10).orElseThrow();

        assertThat(change.organisations().changed()).containsOnlyKeys("a");
        assertThat(change.organisations().removed()).containsExactly("b");
        assertThat(change.appliesTo(older)).isTrue();
        assertThat(change.applyTo(older)).isEqualTo(newer);
        assertThat(change.appliesTo(table(1, organisation("b", -1, "k2")))).isFalse();
    }

    @Test
    void shouldTellAWholeTableWithItsOrganisations() {
        RoutingTable table = table(4, organisation("a", 0, "k1"));

        RoutingTableChange change = RoutingTableChange.whole(table);

        assertThat(change.isCompleteTable()).isTrue();
        assertThat(change.toTable()).isEqualTo(table);
    }

    @Test
    void shouldPutTheOrganisationsPriorityBeforeTheRoutes() {
        assertThat(organisation("a", 0).priorityOn(route("pay", false))).isZero();
        assertThat(organisation("a", Organisation.ROUTE_PRIORITY).priorityOn(route("pay", false)))
                .isEqualTo(1);
    }
}
