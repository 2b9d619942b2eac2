package org.daisyscale.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.daisyscale.core.document.Configuration;
import org.daisyscale.core.document.EnvironmentDocument;
import org.daisyscale.core.document.JobRule;
import org.daisyscale.core.document.KeySource;
import org.daisyscale.core.document.Objective;
import org.daisyscale.core.document.Ownership;
import org.daisyscale.core.document.RequestKind;
import org.daisyscale.core.document.ServicePolicy;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.membership.ServerStatus;
import org.daisyscale.core.membership.VmRecord;
import org.daisyscale.core.membership.VmRole;
import org.daisyscale.core.ownership.OwnershipMap;
import org.daisyscale.core.ownership.RangeAssignment;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.platform.WriteOutcome;
import org.daisyscale.core.request.BackendOutcome;
import org.daisyscale.core.request.KeyHeaders;
import org.daisyscale.core.request.RequestMeta;
import org.junit.jupiter.api.Test;

class RouterCoreTest {
    private static final long MILLI = 1_000_000L;
    private static final String SERVER = "server-1";

    private final RouterCore core = new RouterCore(
            new CoreSettings("router-1", "dc1", 1, TimingSettings.defaults(), DispatchSettings.defaults()));
    private final List<Action> emitted = new ArrayList<>();
    private long nowNanos = 1_000 * MILLI;
    private boolean isPlatformReachable = true;

    @Test
    void shouldSendAnOrderToTheOwnerOfTheKeyAndForwardTheAnswer() {
        runUntilKeysAreOwned();

        handle(new Event.RequestArrived("r1", lookup("/slots/42")));
        Action.SendOrder order = last(Action.SendOrder.class);
        handle(new Event.OrderEnded("r1", order.permit().orderId(), BackendOutcome.ANSWERED, 900));

        assertThat(order.permit().server()).isEqualTo(SERVER);
        assertThat(order.permit().epoch()).isPositive();
        assertThat(last(Action.ForwardAnswer.class).requestId()).isEqualTo("r1");
    }

    @Test
    void shouldReportAnUnknownOutcomeWhenAnOrderIsLostAndAllLaterOnesAreRefused() {
        runUntilKeysAreOwned();
        handle(new Event.RequestArrived("r1", lookup("/slots/42")));
        Action.SendOrder lost = last(Action.SendOrder.class);
        handle(new Event.OrderEnded("r1", lost.permit().orderId(), BackendOutcome.CONNECTION_LOST, 0));
        runForMillis(100);
        Action.SendOrder second = last(Action.SendOrder.class);
        handle(new Event.OrderEnded("r1", second.permit().orderId(), BackendOutcome.SHED, 0));
        runForMillis(100);
        Action.SendOrder third = last(Action.SendOrder.class);
        handle(new Event.OrderEnded("r1", third.permit().orderId(), BackendOutcome.SHED, 0));

        assertThat(List.of(lost, second, third))
                .extracting(order -> order.permit().orderId())
                .doesNotHaveDuplicates();
        assertThat(last(Action.RefuseRequest.class).code()).isEqualTo(CoreErrorCode.OUTCOME_UNKNOWN);
    }

    @Test
    void shouldSendOneOrderForAPermitThatIsDeliveredTwice() {
        runUntilKeysAreOwned();
        handle(new Event.RequestArrived("r1", lookup("/slots/42")));
        Action.SendOrder order = last(Action.SendOrder.class);
        emitted.clear();

        handle(new Event.PeerMessageReceived("router-1", new PeerMessage.PermitGranted("r1#1", order.permit())));
        handle(new Event.OrderEnded("r1", order.permit().orderId(), BackendOutcome.ANSWERED, 900));

        assertThat(emitted).noneMatch(Action.SendOrder.class::isInstance);
        assertThat(last(Action.ForwardAnswer.class).orderId())
                .isEqualTo(order.permit().orderId());
    }

    @Test
    void shouldIgnoreTheRefusalOfAPermitThatComesWhileTheOrderIsInFlight() {
        runUntilKeysAreOwned();
        handle(new Event.RequestArrived("r1", lookup("/slots/42")));
        last(Action.SendOrder.class);
        emitted.clear();

        String overloaded = CoreErrorCode.OVERLOADED.code();
        handle(new Event.PeerMessageReceived("router-1", new PeerMessage.PermitRefused("r1#1", overloaded, false)));

        assertThat(emitted).noneMatch(Action.RefuseRequest.class::isInstance);
    }

    @Test
    void shouldReportAnUnknownOutcomeWhenAnOrderEndsByItsTimeout() {
        runUntilKeysAreOwned();
        handle(new Event.RequestArrived("r1", lookup("/slots/42")));
        Action.SendOrder order = last(Action.SendOrder.class);

        runForMillis(600);
        assertThat(emitted).noneMatch(Action.RefuseRequest.class::isInstance);
        handle(new Event.OrderEnded("r1", order.permit().orderId(), BackendOutcome.TIMED_OUT, 0));

        assertThat(last(Action.RefuseRequest.class).code()).isEqualTo(CoreErrorCode.OUTCOME_UNKNOWN);
    }

    @Test
    void shouldGrantSlicesUntilATimeOnTheServersClock() {
        runUntilKeysAreOwned();

        Action.SendGrant grant = last(Action.SendGrant.class);

        assertThat(grant.grant().slices()).hasSize(4);
        assertThat(grant.grant().expiresAtServerMillis())
                .isLessThanOrEqualTo(serverMillis() + TimingSettings.defaults().grantLifeMillis());
    }

    @Test
    void shouldRejectARequestForAnUnknownJob() {
        runUntilKeysAreOwned();

        handle(new Event.RequestArrived("r1", meta("nobody", "/slots/1")));

        assertThat(last(Action.RefuseRequest.class).code()).isEqualTo(CoreErrorCode.UNKNOWN_JOB);
    }

    @Test
    void shouldEndAPlannedStopWithoutASuccessorOnceRequestsAreRejected() {
        runUntilKeysAreOwned();

        handle(new Event.StopRequested());
        runForMillis(3_000);

        assertThat(last(Action.StopNow.class)).isNotNull();
    }

    /** Guards against ids that end as "outcome unknown" because their ledger was sent to a disconnected router. */
    @Test
    void shouldHandTheLedgerOverAgainWhenTheSuccessorConnectsLater() {
        runUntilKeysAreOwned();
        OwnershipMap owned = last(Action.WriteMap.class).map();
        isPlatformReachable = false;
        handle(new Event.MapRead(movedTo("router-2", owned)));
        PeerMessage handover = lastSent(PeerMessage.LedgerHandover.class);
        emitted.clear();

        handle(new Event.PeerConnected("router-2"));

        assertThat(emitted).contains(new Action.SendPeer("router-2", handover));
    }

    private static OwnershipMap movedTo(String router, OwnershipMap map) {
        List<RangeAssignment> moved = map.ranges().stream()
                .map(range -> new RangeAssignment(
                        range.service(), range.range(), router, range.epoch() + 1, range.firstEpoch(), range.router()))
                .toList();
        return new OwnershipMap(map.version() + 1, map.term(), "w-moved", map.seats(), moved, map.slices());
    }

    private PeerMessage lastSent(Class<? extends PeerMessage> type) {
        List<PeerMessage> messages = emitted.stream()
                .filter(Action.SendPeer.class::isInstance)
                .map(action -> ((Action.SendPeer) action).message())
                .filter(type::isInstance)
                .toList();
        assertThat(messages).as(type.getSimpleName()).isNotEmpty();
        return messages.get(messages.size() - 1);
    }

    @Test
    void shouldRejectRequestsBeforeAConfigurationIsKnown() {
        handle(new Event.RequestArrived("r1", lookup("/slots/42")));

        assertThat(last(Action.RefuseRequest.class).code()).isEqualTo(CoreErrorCode.NOT_READY);
    }

    private void runUntilKeysAreOwned() {
        handle(new Event.ConfigurationRead(configuration()));
        handle(new Event.MapRead(OwnershipMap.empty()));
        handle(new Event.VmListRead(List.of(
                new VmRecord("router-1", VmRole.ROUTER, "", "dc1", "127.0.0.1", 1, 2, false, 0, 0),
                new VmRecord(SERVER, VmRole.BACKEND_SERVER, "old-slots", "dc1", "127.0.0.1", 3, 0, false, 3, 100))));
        runForMillis(3_000);
    }

    private void runForMillis(int millis) {
        for (int step = 0; step < millis; step += 10) {
            nowNanos += 10 * MILLI;
            handle(new Event.TimePassed());
        }
    }

    private void handle(Event event) {
        List<Action> actions = core.handle(event, new Moment(nowNanos, 1_700_000_000_000L));
        emitted.addAll(actions);
        actions.forEach(this::perform);
    }

    private void perform(Action action) {
        if (action instanceof Action.HoldControlLease) {
            handle(new Event.ControlLeaseHeld(7, nowNanos));
        } else if (action instanceof Action.WriteMap write && isPlatformReachable) {
            handle(new Event.MapWriteEnded(write.map().writeId(), WriteOutcome.ACCEPTED));
        } else if (action instanceof Action.ReadMap) {
            handle(new Event.MapRead(OwnershipMap.empty()));
        } else if (action instanceof Action.ProbeServer) {
            ServerStatus status = new ServerStatus("life-1", serverMillis(), false, 0, 0, 0);
            handle(new Event.ProbeAnswered(SERVER, nowNanos, nowNanos, status));
        } else if (action instanceof Action.SendGrant send) {
            handle(new Event.GrantAnswered(
                    SERVER, send.grant().mapVersion(), true, send.grant().mapVersion()));
        }
    }

    private long serverMillis() {
        return nowNanos / MILLI + 5_000;
    }

    private <T extends Action> T last(Class<T> type) {
        List<T> matching =
                emitted.stream().filter(type::isInstance).map(type::cast).toList();
        assertThat(matching).as(type.getSimpleName()).isNotEmpty();
        return matching.get(matching.size() - 1);
    }

    private static RequestMeta lookup(String path) {
        return meta("old-slots", path);
    }

    private static RequestMeta meta(String job, String path) {
        return new RequestMeta(job, "GET", path, "", KeyHeaders.none(), "caller", "", 0, "digest");
    }

    private static Configuration configuration() {
        RequestKind lookup = new RequestKind(
                "lookup",
                "GET",
                "/slots/{key}",
                KeySource.PATH,
                "key",
                true,
                500,
                3,
                10,
                0,
                0,
                1_000,
                new Objective(99.9, 100));
        ServicePolicy slots = new ServicePolicy(
                "slot-lookup",
                List.of(new JobRule("old-", true)),
                Ownership.EXCLUSIVE,
                4,
                1,
                true,
                20,
                List.of(lookup));
        EnvironmentDocument document = new EnvironmentDocument(1, "trial", List.of(slots));
        return new Configuration(1, "w1", "", document, Set.of(), Set.of(), List.of());
    }
}
