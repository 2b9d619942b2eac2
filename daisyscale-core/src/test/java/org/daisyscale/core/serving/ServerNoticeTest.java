package org.daisyscale.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.peer.PeerMessage;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests to servers that announced in an answer that they leave or want none for a while. */
class ServerNoticeTest {
    private static final long MILLI = 1_000_000L;
    private static final long DRAIN_MILLIS = 2_000;
    private static final int KEY = 5;
    private static final ServerNotice LEAVING = new ServerNotice(true, 0, "");

    private final RequestRouter router =
            RequestRouter.create(new ServingSettings("r1", "dc1", 1, 1.5, 5, 0.2, 60, 10_000, DRAIN_MILLIS, 5_000));
    private long nowNanos = 1;
    private long lastRequestId;

    @BeforeEach
    void registerServers() {
        handle(new ServingEvent.RegistrationRenewed(nowNanos - 10_000 * MILLI, Long.MAX_VALUE / 2));
        useTable(1);
        handle(new ServingEvent.ServerChanged(server("s1", 7)));
        handle(new ServingEvent.ServerChanged(keyed("k1", 7)));
        assignAllKeys(keyed("k1", 7));
    }

    private void useTable(long version) {
        ServiceRules pooled = new ServiceRules("pooled", "/health", 120, 3_000, 7, false, 0);
        ServiceRules keyed = new ServiceRules("keyed", "/health", 120, 3_000, 7, true, 5_000);
        handle(new ServingEvent.EvacuationsChanged(Set.of()));
        handle(new ServingEvent.TableChanged(new RoutingTable(
                version,
                List.of(route("pool", "pooled"), route("keys", "keyed")),
                Map.of("pooled", pooled, "keyed", keyed),
                new RequestLimits(16_384, 1 << 20, 3_000, 15_000))));
    }

    private static Route route(String name, String service) {
        return new Route(name, "h", "/" + name, true, 800, 400, 1, 2, List.of(new Route.WeightedService(service, 1)));
    }

    private static BackendServer server(String id, long bornEpochMillis) {
        return new BackendServer(id, bornEpochMillis, "pooled", "10.0.0.1", 80, "dc1", 3, false, 0);
    }

    private static BackendServer keyed(String id, long bornEpochMillis) {
        return new BackendServer(id, bornEpochMillis, "keyed", "10.0.0.2", 80, "dc1", 3, false, 0);
    }

    private void assignAllKeys(BackendServer owner) {
        KeyAssignment all =
                new KeyAssignment(0, KeyMap.KEY_COUNT - 1, KeyAssignment.Owner.of(owner), 1, true, List.of());
        handle(new ServingEvent.KeyMapChanged(new KeyMap("keyed", owner.bornEpochMillis(), 0, 2, List.of(all))));
    }

    private List<ServingAction> handle(ServingEvent event) {
        return router.handle(event, nowNanos);
    }

    private List<ServingAction> arrive(String path, int key) {
        handle(new ServingEvent.RoutersConfirmed(nowNanos));
        RequestHead head = new RequestHead("h", path, 1_500, key, 0, "id");
        return handle(new ServingEvent.RequestArrived(++lastRequestId, head, nowNanos));
    }

    private List<ServingAction> arrive() {
        return arrive("/pool", RequestHead.NO_KEY);
    }

    private List<ServingAction> arriveKeyed() {
        return arrive("/keys", KEY);
    }

    private List<ServingAction> endLast(AttemptOutcome outcome, ServerNotice notice) {
        return handle(new ServingEvent.AttemptEnded(lastRequestId, 1, outcome, Optional.empty(), notice));
    }

    private List<ServingAction> turnAway(long pauseMillis) {
        return endLast(AttemptOutcome.REFUSED_FULL, new ServerNotice(false, pauseMillis, ""));
    }

    private static Optional<String> sentTo(List<ServingAction> actions) {
        return actions.stream()
                .filter(ServingAction.SendAttempt.class::isInstance)
                .map(action -> ((ServingAction.SendAttempt) action).server().id())
                .findFirst();
    }

    private static ServingAction.Reject rejection(List<ServingAction> actions) {
        return actions.stream()
                .filter(ServingAction.Reject.class::isInstance)
                .map(ServingAction.Reject.class::cast)
                .findFirst()
                .orElseThrow();
    }

    @Test
    void shouldSendNothingMoreToAServerThatAnnouncedThatItLeaves() {
        arrive();
        endLast(AttemptOutcome.ANSWERED, LEAVING);

        assertThat(rejection(arrive()).reason()).isEqualTo(CoreErrorCode.NO_SERVER);
    }

    @Test
    void shouldTellTheOtherRoutersOnceThatAServerLeaves() {
        arrive();

        assertThat(endLast(AttemptOutcome.ANSWERED, LEAVING))
                .contains(new ServingAction.ShareNews(new PeerMessage.ServerLeaving("s1", 7)));
    }

    @Test
    void shouldUseALeavingOwnerUntilItsKeysAreHandedOverButNotAtTheEndOfItsDrainTime() {
        arriveKeyed();
        endLast(AttemptOutcome.ANSWERED, LEAVING);

        assertThat(sentTo(arriveKeyed())).contains("k1");
        nowNanos += (DRAIN_MILLIS - 500) * MILLI;
        assertThat(rejection(arriveKeyed()).reason()).isEqualTo(CoreErrorCode.NO_OWNER);
    }

    @Test
    void shouldBelieveALeavingServerMoreThanItsEntryInTheStore() {
        arrive();
        endLast(AttemptOutcome.ANSWERED, LEAVING);

        handle(new ServingEvent.ServerChanged(server("s1", 7)));
        useTable(2);
        handle(new ServingEvent.ServerRemoved("s1"));
        handle(new ServingEvent.ServerChanged(server("s1", 7)));

        assertThat(sentTo(arrive())).isEmpty();
    }

    @Test
    void shouldUseANewIncarnationOfAServerThatLeft() {
        arrive();
        endLast(AttemptOutcome.ANSWERED, LEAVING);

        handle(new ServingEvent.ServerChanged(server("s1", 8)));

        assertThat(sentTo(arrive())).contains("s1");
    }

    @Test
    void shouldSendNothingToAServerForAsLongAsItAsked() {
        arrive();
        turnAway(2_000);

        nowNanos += 1_900 * MILLI;
        ServingAction.Reject rejection = rejection(arrive());

        assertThat(rejection.reason()).isEqualTo(CoreErrorCode.NO_SERVER);
        assertThat(rejection.retryAfterMillis()).isBetween(100L, 200L);
    }

    @Test
    void shouldUseAServerAgainAfterThePauseThatItAskedFor() {
        arrive();
        turnAway(2_000);

        nowNanos += 2_001 * MILLI;

        assertThat(sentTo(arrive())).contains("s1");
    }

    @Test
    void shouldNotFloodAServerAfterThePauseThatItAskedFor() {
        arrive();
        turnAway(2_000);
        nowNanos += 2_001 * MILLI;

        long sent = 0;
        for (int index = 0; index < 40; index++) {
            sent += sentTo(arrive()).isPresent() ? 1 : 0;
            endLast(AttemptOutcome.ANSWERED, ServerNotice.NONE);
        }

        assertThat(sent).isLessThanOrEqualTo(15);
    }

    @Test
    void shouldNotShortenAPauseByALaterWord() {
        arrive();
        arrive();
        turnAway(2_000);
        handle(new ServingEvent.AttemptEnded(
                lastRequestId - 1, 1, AttemptOutcome.REFUSED_FULL, Optional.empty(), new ServerNotice(false, 100, "")));

        nowNanos += 1_000 * MILLI;

        assertThat(sentTo(arrive())).isEmpty();
    }

    @Test
    void shouldTryAnotherServerWhenOneTurnsARequestAway() {
        arrive();
        handle(new ServingEvent.ServerChanged(server("s2", 7)));

        assertThat(sentTo(turnAway(2_000))).contains("s2");
    }

    @Test
    void shouldRejectAKeyedRequestAtOnceWithTheRestOfItsOwnersPause() {
        arriveKeyed();
        assertThat(rejection(turnAway(2_000)).retryAfterMillis()).isBetween(2_000L, 2_150L);

        nowNanos += 1_000 * MILLI;
        ServingAction.Reject rejection = rejection(arriveKeyed());

        assertThat(rejection.reason()).isEqualTo(CoreErrorCode.OVERLOADED);
        assertThat(rejection.retryAfterMillis()).isBetween(1_000L, 1_150L);
    }

    /** Random orders of announcements, store words, lapses and new configurations, against both rules as written. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void shouldKeepBothRulesInAnyOrderOfWords(long seed) {
        Random random = new Random(seed);
        Words words = new Words();
        for (int step = 0; step < 2_000; step++) {
            nowNanos += random.nextInt(60) * MILLI;
            applyStoreWord(random.nextInt(200), step);
            if (sentTo(arriveKeyed()).isPresent()) {
                words.check(nowNanos);
                answer(random, words);
            }
        }
    }

    private void applyStoreWord(int choice, int step) {
        if (choice == 0) {
            handle(new ServingEvent.ServerRemoved("k1"));
        } else if (choice < 4) {
            handle(new ServingEvent.ServerChanged(keyed("k1", 7)));
        } else if (choice == 4) {
            useTable(step + 2);
        }
    }

    private void answer(Random random, Words words) {
        boolean isLeaving = random.nextInt(400) == 0;
        if (isLeaving) {
            words.leavingSinceNanos = Math.min(words.leavingSinceNanos, nowNanos);
            endLast(AttemptOutcome.ANSWERED, LEAVING);
        } else if (random.nextInt(20) == 0) {
            long pauseMillis = 1 + random.nextInt(3_000);
            words.pause(nowNanos, pauseMillis);
            turnAway(pauseMillis);
        } else {
            endLast(AttemptOutcome.ANSWERED, ServerNotice.NONE);
        }
    }

    /** What the server announced, and the requests that it got since. */
    private static final class Words {
        private static final int MAX_SENT_IN_PAUSE = 2;

        private long leavingSinceNanos = Long.MAX_VALUE;
        private long pauseFromNanos = Long.MAX_VALUE;
        private long pauseUntilNanos = Long.MIN_VALUE;
        private int sentInPause;

        private void pause(long nowNanos, long pauseMillis) {
            pauseFromNanos = nowNanos + 500 * MILLI;
            pauseUntilNanos = Math.max(pauseUntilNanos, nowNanos + pauseMillis * MILLI);
            sentInPause = 0;
        }

        private void check(long nowNanos) {
            assertThat(nowNanos - leavingSinceNanos).isLessThan(DRAIN_MILLIS * MILLI);
            boolean isPaused = nowNanos >= pauseFromNanos && nowNanos < pauseUntilNanos;
            sentInPause += isPaused ? 1 : 0;
            assertThat(sentInPause).isLessThanOrEqualTo(MAX_SENT_IN_PAUSE);
        }
    }
}
