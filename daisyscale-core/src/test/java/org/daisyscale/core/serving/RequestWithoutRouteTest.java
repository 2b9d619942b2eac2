package org.daisyscale.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.daisyscale.core.error.CoreErrorCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against proper requests that are denied because the router's configuration is out of date. */
class RequestWithoutRouteTest {
    private static final long MILLI = 1_000_000L;

    private final RequestRouter router =
            RequestRouter.create(new ServingSettings("r1", "dc1", 1, 1.5, 5, 0.2, 60, 10_000, 2_000, 5_000));
    private long nowNanos = 1;

    private List<ServingAction> handle(ServingEvent event) {
        return router.handle(event, nowNanos);
    }

    private void passTime(long millis) {
        nowNanos += millis * MILLI;
        handle(new ServingEvent.TimePassed());
    }

    private void confirm() {
        handle(new ServingEvent.ConfigurationConfirmed(nowNanos));
    }

    private static RoutingTable table(long version, Route... routes) {
        ServiceRules pooled = new ServiceRules("pooled", "/health", 120, 3_000, 7, false, 0);
        return new RoutingTable(
                version, List.of(routes), Map.of("pooled", pooled), new RequestLimits(16_384, 1 << 20, 3_000, 15_000));
    }

    private static Route route(String name) {
        return new Route(
                name, "h", "/" + name + "/", false, 800, 400, 1, 2, List.of(new Route.WeightedService("pooled", 1)));
    }

    private void useTable(ConfigurationSource source) {
        handle(new ServingEvent.EvacuationsChanged(Set.of()));
        handle(new ServingEvent.TableChanged(table(5, route("pay")), source));
    }

    private void useTable() {
        useTable(ConfigurationSource.fromStore(38));
    }

    private List<ServingAction> arrive(String path) {
        RequestHead head = new RequestHead("h", path, 1_500, RequestHead.NO_KEY, 0, "id");
        return handle(new ServingEvent.RequestArrived(1, head, nowNanos));
    }

    private ServingAction.Reject rejection(String path) {
        List<ServingAction> actions = arrive(path);
        assertThat(actions).singleElement().isInstanceOf(ServingAction.Reject.class);
        return (ServingAction.Reject) actions.get(0);
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 700, 1_500})
    void shouldSayThatThereIsNoRouteWhileTheConfigurationIsCurrent(long ageMillis) {
        useTable();
        confirm();
        passTime(ageMillis);

        ServingAction.Reject rejection = rejection("/nothing/1");

        assertThat(rejection.reason()).isEqualTo(CoreErrorCode.NO_ROUTE);
        assertThat(rejection.retryAfterMillis()).isZero();
    }

    @ParameterizedTest
    @ValueSource(longs = {1_501, 2_300, 600_000})
    void shouldNotSayThatThereIsNoRouteWhileTheConfigurationMayBeOutOfDate(long ageMillis) {
        useTable();
        confirm();
        passTime(ageMillis);

        ServingAction.Reject rejection = rejection("/nothing/1");

        assertThat(rejection.reason()).isEqualTo(CoreErrorCode.ROUTE_UNCERTAIN);
        assertThat(rejection.detail()).isEqualTo("host=h path=/nothing/1");
        assertThat(rejection.retryAfterMillis()).isBetween(700L, 849L);
    }

    @Test
    void shouldNotSayThatThereIsNoRouteBeforeTheConfigurationIsKnownToBeComplete() {
        useTable();

        ServingAction.Reject rejection = rejection("/nothing/1");

        assertThat(rejection.reason()).isEqualTo(CoreErrorCode.ROUTE_UNCERTAIN);
        assertThat(rejection.retryAfterMillis()).isBetween(700L, 849L);
    }

    @Test
    void shouldSayThatThereIsNoRouteAgainOnceTheConfigurationIsCurrentAgain() {
        useTable();
        confirm();
        passTime(5_000);
        CoreErrorCode before = rejection("/nothing/1").reason();

        confirm();

        assertThat(before).isEqualTo(CoreErrorCode.ROUTE_UNCERTAIN);
        assertThat(rejection("/nothing/1").reason()).isEqualTo(CoreErrorCode.NO_ROUTE);
    }

    @Test
    void shouldNotTakeANewerVersionForOneThatIsKnownToBeComplete() {
        useTable();
        confirm();
        passTime(5_000);

        handle(new ServingEvent.TableChanged(table(6, route("pay"))));

        assertThat(rejection("/nothing/1").reason()).isEqualTo(CoreErrorCode.ROUTE_UNCERTAIN);
    }

    @Test
    void shouldSpreadTheReturnOfCallersThatAreRejectedTogether() {
        useTable();
        Set<Long> retryAfterMillis = new HashSet<>();

        for (int caller = 0; caller < 100; caller++) {
            retryAfterMillis.add(rejection("/nothing/" + caller).retryAfterMillis());
        }

        assertThat(retryAfterMillis).hasSizeGreaterThan(30);
    }

    @ParameterizedTest
    @ValueSource(longs = {1_501, 600_000})
    void shouldServeARequestWithARouteByTheConfigurationThatIsHeld(long ageMillis) {
        useTable();
        confirm();
        handle(new ServingEvent.RegistrationRenewed(nowNanos - 10_000 * MILLI, nowNanos + (ageMillis + 1_000) * MILLI));
        handle(new ServingEvent.ServerChanged(
                new BackendServer("s1", 7, "pooled", "10.0.0.1", 80, "dc1", 3, false, 0)));
        passTime(ageMillis);

        List<ServingAction> actions = arrive("/pay/1");

        assertThat(actions)
                .anySatisfy(action -> assertThat(action)
                        .isInstanceOfSatisfying(
                                ServingAction.SendAttempt.class,
                                send -> assertThat(send.server().id()).isEqualTo("s1")));
    }

    @Test
    void shouldLogTheConfigurationThatHasNoRouteForARequestWithItsAgeAndItsSource() {
        useTable(ConfigurationSource.fromController("r7", 41));
        confirm();
        passTime(2_300);

        assertThat(rejection("/nothing/1").logDetail())
                .isEqualTo("configurationVersion=5 viewAgeMillis=2300 source=controller:r7 sourceRevision=41");
    }

    @Test
    void shouldLogThatTheConfigurationWithoutARouteWasReadFromTheStoreAndNeverKnownToBeComplete() {
        useTable();

        assertThat(rejection("/nothing/1").logDetail())
                .isEqualTo("configurationVersion=5 viewAgeMillis=unknown source=store sourceRevision=38");
    }

    @Test
    void shouldCountTheAgeOfTheConfigurationFromTheLatestTimeAtWhichItWasKnownToBeComplete() {
        useTable();
        long completeNanos = nowNanos;
        handle(new ServingEvent.ConfigurationConfirmed(completeNanos));
        handle(new ServingEvent.ConfigurationConfirmed(completeNanos - 900 * MILLI));
        passTime(400);

        assertThat(rejection("/nothing/1").logDetail()).contains("viewAgeMillis=400 ");
    }

    @Test
    void shouldNotLogTheSourceOfAnOlderConfigurationThatIsIgnored() {
        useTable();
        handle(new ServingEvent.TableChanged(table(4), ConfigurationSource.fromController("r7", 41)));

        assertThat(rejection("/nothing/1").logDetail()).contains("configurationVersion=5 ", "source=store ");
    }

    @Test
    void shouldLogTheConfigurationOnlyForARequestWithoutARoute() {
        useTable();

        List<String> logDetails = new ArrayList<>();
        arrive("/pay/1").stream()
                .filter(ServingAction.Reject.class::isInstance)
                .forEach(action -> logDetails.add(((ServingAction.Reject) action).logDetail()));

        assertThat(logDetails).containsExactly("");
    }
}
