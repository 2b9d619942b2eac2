package org.daisyscale.testkit.capacity;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.BiConsumer;
import org.daisyscale.core.Action;
import org.daisyscale.core.CoreSettings;
import org.daisyscale.core.DispatchSettings;
import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;
import org.daisyscale.core.RouterCore;
import org.daisyscale.core.TimingSettings;
import org.daisyscale.core.membership.ServerStatus;
import org.daisyscale.core.ownership.OwnershipMap;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.platform.WriteOutcome;
import org.daisyscale.core.request.BackendOutcome;

/**
 * One real core in virtual time. Small fakes answer its pings, probes, grants, orders and calls to the platform's
 * service after a fixed delay. Not safe for several threads.
 */
final class FocalRouter {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long REPLY_DELAY_NANOS = NANOS_PER_MILLI;
    private static final long START_EPOCH_MILLIS = 1_700_000_000_000L;

    private final String id;
    private final String controller;
    private final SampleFleet fleet;
    private final RouterCore core;
    private final BiConsumer<String, PeerMessage> sent;
    private final Traffic calls = new Traffic();
    private final EventTimes times = new EventTimes();
    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.comparingLong(Due::atNanos).thenComparingLong(Due::sequence));
    private OwnershipMap stored;
    private String lastPermittedOrder;
    private long nowNanos;
    private long sequence;

    /** A router {@code id} that reads {@code stored}; {@code sent} sees its messages to peers. */
    FocalRouter(
            String id,
            String controller,
            SampleFleet fleet,
            OwnershipMap stored,
            BiConsumer<String, PeerMessage> sent) {
        this.id = id;
        this.controller = controller;
        this.fleet = fleet;
        this.stored = stored;
        this.sent = sent;
        TimingSettings timing = TimingSettings.defaults();
        this.core = new RouterCore(new CoreSettings(id, "dc1", 1, timing, DispatchSettings.defaults()));
        start();
    }

    private void start() {
        give(new Event.ConfigurationRead(fleet.configuration()));
        give(new Event.VmListRead(fleet.vms()));
        give(new Event.MapRead(stored));
        fleet.routerIds().stream()
                .filter(peer -> !peer.equals(id))
                .forEach(peer -> give(new Event.PeerConnected(peer)));
    }

    /** Lets virtual time go on by {@code millis}. */
    void runFor(long millis) {
        long endNanos = nowNanos + millis * NANOS_PER_MILLI;
        while (nextNanos() <= endNanos) {
            nowNanos = Math.max(nowNanos, nextNanos());
            boolean isReply = !due.isEmpty() && due.peek().atNanos() <= nowNanos;
            give(isReply ? due.poll().event() : new Event.TimePassed());
        }
        nowNanos = endNanos;
    }

    private long nextNanos() {
        long timerNanos = core.nextDueNanos();
        return due.isEmpty() ? timerNanos : Math.min(timerNanos, due.peek().atNanos());
    }

    /** Hands {@code event} to the core now. */
    void give(Event event) {
        Moment now = new Moment(nowNanos, START_EPOCH_MILLIS + nowNanos / NANOS_PER_MILLI);
        long startNanos = System.nanoTime();
        List<Action> actions = core.handle(event, now);
        times.note(event, System.nanoTime() - startNanos);
        actions.forEach(this::answer);
    }

    /** Hands {@code event} to the core {@code afterNanos} from now. */
    void giveLater(long afterNanos, Event event) {
        due.add(new Due(nowNanos + afterNanos, sequence++, event));
    }

    private void reply(Event event) {
        giveLater(REPLY_DELAY_NANOS, event);
    }

    private void answer(Action action) {
        if (action instanceof Action.SendPeer send) {
            sent.accept(send.to(), send.message());
            answerPeer(send);
        } else if (action instanceof Action.ProbeServer probe) {
            long receivedNanos = nowNanos + REPLY_DELAY_NANOS;
            ServerStatus status = new ServerStatus("life-1", receivedNanos / NANOS_PER_MILLI, false, 0, 0, 0);
            reply(new Event.ProbeAnswered(probe.server(), nowNanos, receivedNanos, status));
        } else if (action instanceof Action.SendGrant grant) {
            long version = grant.grant().mapVersion();
            reply(new Event.GrantAnswered(grant.grant().server(), version, true, version));
        } else if (action instanceof Action.SendOrder order) {
            reply(new Event.OrderEnded(
                    order.requestId(), order.permit().orderId(), BackendOutcome.ANSWERED, REPLY_DELAY_NANOS));
        } else {
            answerPlatform(action);
        }
    }

    private void answerPeer(Action.SendPeer send) {
        if (send.message() instanceof PeerMessage.Ping ping) {
            PeerMessage pong = new PeerMessage.Pong(ping.sentNanos(), ping.mapVersion(), 1, false);
            reply(new Event.PeerMessageReceived(send.to(), pong));
        } else if (send.message() instanceof PeerMessage.PermitGranted granted) {
            lastPermittedOrder = granted.permit().orderId();
        }
    }

    /** The order of the permit that was given to a peer last; taken once. */
    Optional<String> takeLastPermittedOrder() {
        Optional<String> order = Optional.ofNullable(lastPermittedOrder);
        lastPermittedOrder = null;
        return order;
    }

    private void answerPlatform(Action action) {
        if (action instanceof Action.WriteMap write) {
            calls.noteCall("write");
            stored = write.map();
            reply(new Event.MapWriteEnded(write.map().writeId(), WriteOutcome.ACCEPTED));
        } else if (action instanceof Action.ReadMap) {
            calls.noteCall("read");
            reply(new Event.MapRead(stored));
        } else if (action instanceof Action.ReadConfiguration) {
            calls.noteCall("read");
        } else if (action instanceof Action.HoldControlLease) {
            calls.noteCall("lease");
            reply(
                    id.equals(controller)
                            ? new Event.ControlLeaseHeld(1, nowNanos)
                            : new Event.ControlLeaseLost(controller));
        }
    }

    OwnershipMap map() {
        return stored;
    }

    Traffic calls() {
        return calls;
    }

    EventTimes times() {
        return times;
    }

    long nowNanos() {
        return nowNanos;
    }

    private record Due(long atNanos, long sequence, Event event) {}
}
