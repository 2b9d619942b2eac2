package org.daisyscale.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.peer.PeerMessage;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that crash each server that runs them and are sent on, at any router. */
class CrashingRequestTest {
    private static final long MILLI = 1_000_000L;
    private static final long CRASHING = 4_711;
    private static final long HARMLESS = 1_000;
    private static final int SERVERS = 12;

    private final List<RequestRouter> routers = List.of(createRouter("r1"), createRouter("r2"));
    private long nowNanos = 1;
    private long lastRequestId;

    private static RequestRouter createRouter(String id) {
        return RequestRouter.create(new ServingSettings(id, "dc1", 1, 1.5, 5, 0.2, 60, 10_000, 2_000, 5_000));
    }

    @BeforeEach
    void registerServers() {
        routers.forEach(this::registerServers);
    }

    private void registerServers(RequestRouter router) {
        ServiceRules rules = new ServiceRules("pooled", "/health", 120, 3_000, 7, false, 0);
        Route route =
                new Route("read", "h", "/", true, 800, 400, 1, 2, List.of(new Route.WeightedService("pooled", 1)));
        handle(router, new ServingEvent.RegistrationRenewed(nowNanos - 10_000 * MILLI, Long.MAX_VALUE / 2));
        handle(router, new ServingEvent.RoutersConfirmed(nowNanos));
        handle(router, new ServingEvent.EvacuationsChanged(Set.of()));
        handle(
                router,
                new ServingEvent.TableChanged(new RoutingTable(
                        1,
                        List.of(route),
                        Map.of("pooled", rules),
                        new RequestLimits(16_384, 1 << 20, 3_000, 15_000))));
        for (int index = 0; index < SERVERS; index++) {
            handle(
                    router,
                    new ServingEvent.ServerChanged(
                            new BackendServer("s" + index, 7, "pooled", "10.0.0.1", 80 + index, "dc1", 3, false, 0)));
        }
    }

    /** Handles the event; what the router tells the others reaches them at once. */
    private List<ServingAction> handle(RequestRouter router, ServingEvent event) {
        List<ServingAction> actions = router.handle(event, nowNanos);
        actions.stream()
                .filter(ServingAction.ShareNews.class::isInstance)
                .map(action -> new ServingEvent.NewsReceived(((ServingAction.ShareNews) action).news()))
                .forEach(news -> routers.stream()
                        .filter(other -> !other.equals(router))
                        .forEach(other -> other.handle(news, nowNanos)));
        return actions;
    }

    /** Sends a request whose attempts all end with {@code outcome}; returns the actions that follow. */
    private List<ServingAction> send(RequestRouter router, long fingerprint, AttemptOutcome outcome) {
        long requestId = ++lastRequestId;
        RequestHead head = new RequestHead("h", "/x", 1_500, RequestHead.NO_KEY, 0, "id");
        List<ServingAction> all = new ArrayList<>();
        List<ServingAction> actions =
                handle(router, new ServingEvent.RequestArrived(requestId, head, fingerprint, nowNanos));
        while (attempts(actions) > 0) {
            all.addAll(actions);
            nowNanos += MILLI;
            if (outcome == AttemptOutcome.LOST) {
                removeServer(sentServer(actions));
            }
            actions =
                    handle(router, new ServingEvent.AttemptEnded(requestId, attempts(all), outcome, Optional.empty()));
        }
        all.addAll(actions);
        return all;
    }

    private void removeServer(String serverId) {
        routers.forEach(router -> router.handle(new ServingEvent.ServerRemoved(serverId), nowNanos));
    }

    private static String sentServer(List<ServingAction> actions) {
        return actions.stream()
                .filter(ServingAction.SendAttempt.class::isInstance)
                .map(action -> ((ServingAction.SendAttempt) action).server().id())
                .findFirst()
                .orElseThrow();
    }

    private static int attempts(List<ServingAction> actions) {
        return (int) actions.stream()
                .filter(ServingAction.SendAttempt.class::isInstance)
                .count();
    }

    private static Optional<ServingAction.Reject> rejection(List<ServingAction> actions) {
        return actions.stream()
                .filter(ServingAction.Reject.class::isInstance)
                .map(ServingAction.Reject.class::cast)
                .findFirst();
    }

    @Test
    void shouldRepeatARequestThatWasLostWithOneServer() {
        assertThat(attempts(send(routers.get(0), CRASHING, AttemptOutcome.LOST)))
                .isEqualTo(2);
    }

    @Test
    void shouldNotRepeatARequestThatWasLostWithTwoServersAtAnyRouter() {
        send(routers.get(0), CRASHING, AttemptOutcome.LOST);

        assertThat(attempts(send(routers.get(1), CRASHING, AttemptOutcome.LOST)))
                .isEqualTo(1);
    }

    @Test
    void shouldRejectARequestThatWasLostWithThreeServersAtOnceAsNotRun() {
        send(routers.get(0), CRASHING, AttemptOutcome.LOST);
        send(routers.get(1), CRASHING, AttemptOutcome.LOST);

        List<ServingAction> actions = send(routers.get(0), CRASHING, AttemptOutcome.LOST);

        assertThat(attempts(actions)).isZero();
        assertThat(rejection(actions)).hasValueSatisfying(reject -> {
            assertThat(reject.reason()).isEqualTo(CoreErrorCode.SUSPECT_REQUEST);
            assertThat(reject.retryAfterMillis()).isPositive();
        });
    }

    @Test
    void shouldTryAPausedRequestOnceAfterEachLongerPause() {
        int crashes = 0;
        for (long passedMillis = 0; passedMillis < 120_000; passedMillis += 500) {
            nowNanos += 500 * MILLI;
            crashes += attempts(send(routers.get((int) (passedMillis / 500 % 2)), CRASHING, AttemptOutcome.LOST));
        }

        assertThat(crashes).isBetween(4, 7);
    }

    @Test
    void shouldServeARequestAgainOnceAServerAnsweredIt() {
        send(routers.get(0), CRASHING, AttemptOutcome.LOST);

        send(routers.get(1), CRASHING, AttemptOutcome.ANSWERED);

        assertThat(attempts(send(routers.get(0), CRASHING, AttemptOutcome.LOST)))
                .isEqualTo(2);
    }

    /** Guards against a controller that has to pass on thousands of messages when a data centre is lost. */
    @Test
    void shouldTellTheOthersOfFewLossesWhenManyRequestsAreLostTogether() {
        int told = 0;
        for (int index = 0; index < 200; index++) {
            registerServers();
            told += (int) send(routers.get(0), HARMLESS + index, AttemptOutcome.LOST).stream()
                    .filter(ServingAction.ShareNews.class::isInstance)
                    .count();
        }

        assertThat(told).isLessThanOrEqualTo(20);
    }

    @Test
    void shouldServeOtherRequestsWhileOneIsPaused() {
        send(routers.get(0), CRASHING, AttemptOutcome.LOST);
        send(routers.get(0), CRASHING, AttemptOutcome.LOST);

        assertThat(rejection(send(routers.get(0), HARMLESS, AttemptOutcome.ANSWERED)))
                .isEmpty();
    }

    private static List<LossRecord> stored(List<ServingAction> actions) {
        return actions.stream()
                .filter(ServingAction.StoreLosses.class::isInstance)
                .map(action -> ((ServingAction.StoreLosses) action).losses())
                .toList();
    }

    /** Returns a router that starts and reads {@code losses} in the store. */
    private RequestRouter startRouter(LossRecord losses) {
        RequestRouter started = createRouter("r3");
        registerServers(started);
        started.handle(new ServingEvent.LossesRead(losses), nowNanos);
        return started;
    }

    /** Guards against a router that starts and sends a request on that crashes servers (issue 57). */
    @Test
    void shouldRejectARequestAtOnceThatWasLostWithThreeServersBeforeTheRouterStarted() {
        List<LossRecord> stored = new ArrayList<>(stored(send(routers.get(0), CRASHING, AttemptOutcome.LOST)));
        stored.addAll(stored(send(routers.get(1), CRASHING, AttemptOutcome.LOST)));

        RequestRouter started = startRouter(stored.get(stored.size() - 1));

        assertThat(attempts(send(started, CRASHING, AttemptOutcome.LOST))).isZero();
    }

    @Test
    void shouldCountThePauseFromTheLastLossAndNotFromTheStartOfTheRouter() {
        List<LossRecord.LostServer> lost = Stream.of("s0", "s1", "s2")
                .map(id -> new LossRecord.LostServer(id, 7))
                .toList();
        RequestRouter started = startRouter(new LossRecord(HARMLESS, lost, 0, 9_900));

        assertThat(attempts(send(started, HARMLESS, AttemptOutcome.ANSWERED))).isZero();
        nowNanos += 100 * MILLI;
        assertThat(attempts(send(started, HARMLESS, AttemptOutcome.ANSWERED))).isEqualTo(1);
    }

    @Test
    void shouldStoreTheFirstLossOfARequestUnlessAServerAnswersItShortlyAfterwards() {
        send(routers.get(0), HARMLESS, AttemptOutcome.ANSWERED);
        sendOnce(CRASHING, AttemptOutcome.LOST);
        sendOnce(HARMLESS, AttemptOutcome.LOST);
        send(routers.get(0), HARMLESS, AttemptOutcome.ANSWERED);

        nowNanos += 1_000 * MILLI;
        List<ServingAction> later = handle(routers.get(0), new ServingEvent.TimePassed());

        assertThat(stored(later)).extracting(LossRecord::fingerprint).containsExactly(CRASHING);
    }

    /** Sends a request for which no second server is registered. */
    private void sendOnce(long fingerprint, AttemptOutcome outcome) {
        RequestHead head = new RequestHead("h", "/x", 1_500, RequestHead.NO_KEY, 0, "id");
        long requestId = ++lastRequestId;
        handle(routers.get(0), new ServingEvent.RequestArrived(requestId, head, fingerprint, nowNanos));
        handle(routers.get(0), new ServingEvent.AttemptEnded(requestId, 1, outcome, Optional.empty()));
        handle(routers.get(0), new ServingEvent.CallerLeft(requestId));
    }

    @Test
    void shouldEraseTheStoredLossesOfARequestThatAServerAnswered() {
        send(routers.get(0), CRASHING, AttemptOutcome.LOST);

        List<LossRecord> stored = stored(send(routers.get(0), CRASHING, AttemptOutcome.ANSWERED));

        assertThat(stored).containsExactly(LossRecord.answered(CRASHING));
    }

    /** Says when a request is served again that met three crashing servers by chance. */
    @Test
    void shouldServeASoundRequestTenSecondsAfterItWasLostWithThreeServersByChance() {
        send(routers.get(0), HARMLESS, AttemptOutcome.LOST);
        send(routers.get(0), HARMLESS, AttemptOutcome.LOST);
        registerServers();

        nowNanos += 9_900 * MILLI;
        assertThat(rejection(send(routers.get(0), HARMLESS, AttemptOutcome.ANSWERED)))
                .isPresent();
        nowNanos += 100 * MILLI;
        assertThat(rejection(send(routers.get(0), HARMLESS, AttemptOutcome.ANSWERED)))
                .isEmpty();
        assertThat(rejection(send(routers.get(1), HARMLESS, AttemptOutcome.ANSWERED)))
                .isEmpty();
    }

    @Test
    void shouldSendARequestAtMostTwiceInTenMinutesAfterItWasLostWithThreeServers() {
        send(routers.get(0), CRASHING, AttemptOutcome.LOST);
        send(routers.get(1), CRASHING, AttemptOutcome.LOST);
        int tries = 0;
        for (int second = 0; second < 590; second++) {
            nowNanos += 1_000 * MILLI;
            registerServers();
            tries += attempts(send(routers.get(second % 2), CRASHING, AttemptOutcome.LOST));
        }

        assertThat(tries).isEqualTo(2);
    }

    /** Guards against a popular request that stays paused after many servers were lost at once. */
    @Test
    void shouldNotPauseARequestForLongerWhenItIsLostWithMoreServersAtOnce() {
        for (int index = 0; index < SERVERS; index++) {
            PeerMessage.RequestLost lost = new PeerMessage.RequestLost(HARMLESS, "s" + index, 7);
            routers.get(0).handle(new ServingEvent.NewsReceived(lost), nowNanos);
        }

        nowNanos += 10_000 * MILLI;

        assertThat(rejection(send(routers.get(0), HARMLESS, AttemptOutcome.ANSWERED)))
                .isEmpty();
    }

    @Test
    void shouldStoreFewRequestsWhenManyAreLostTogether() {
        int stored = 0;
        for (int index = 0; index < 200; index++) {
            registerServers();
            stored += stored(send(routers.get(0), HARMLESS + index, AttemptOutcome.LOST))
                    .size();
            sendOnce(CRASHING + index, AttemptOutcome.LOST);
        }
        nowNanos += 600 * MILLI;
        stored += stored(handle(routers.get(0), new ServingEvent.TimePassed())).size();

        assertThat(stored).isLessThanOrEqualTo(60);
    }
}
