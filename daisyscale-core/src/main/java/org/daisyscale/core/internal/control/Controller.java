package org.daisyscale.core.internal.control;

import java.util.List;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;
import org.daisyscale.core.TimingSettings;
import org.daisyscale.core.internal.CoreComponent;
import org.daisyscale.core.internal.Outbox;
import org.daisyscale.core.internal.TimerQueue;
import org.daisyscale.core.internal.configuration.ConfigurationTracker;
import org.daisyscale.core.internal.membership.Roster;
import org.daisyscale.core.internal.ownership.OwnershipMapTracker;
import org.daisyscale.core.internal.ownership.RenewalAuthority;
import org.daisyscale.core.internal.ownership.Witness;
import org.daisyscale.core.ownership.OwnershipMap;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.platform.WriteOutcome;

/**
 * Changes the ownership map while this router holds the control lease: reads the map, writes its term into it by
 * compare-and-swap, then writes one planned change at a time. A change takes effect only after the platform's service
 * accepted it. If the answer to a write is lost, the map is read back and its write id compared. Not thread-safe;
 * confined to the core thread.
 */
public final class Controller implements CoreComponent {
    private static final long PLAN_INTERVAL_MILLIS = 50;

    private final String routerId;
    private final Leadership leadership;
    private final OwnershipMapTracker maps;
    private final Witness witness;
    private final Roster roster;
    private final ConfigurationTracker configuration;
    private final ConfirmationTracker confirmations;
    private final List<PlanStep> steps;
    private OwnershipMap pendingWrite;
    private boolean isOutcomeUnknown;
    private long readTerm = -1;
    private long writeCount;

    /** Creates a controller that plans nothing until it holds the control lease. */
    public Controller(
            String routerId,
            TimingSettings timing,
            Leadership leadership,
            OwnershipMapTracker maps,
            Witness witness,
            RenewalAuthority authority,
            Roster roster,
            ConfigurationTracker configuration,
            FleetReports reports,
            TimerQueue timers) {
        this.routerId = routerId;
        this.leadership = leadership;
        this.maps = maps;
        this.witness = witness;
        this.roster = roster;
        this.configuration = configuration;
        this.confirmations = new ConfirmationTracker(authority);
        UsableServers usableServers = new UsableServers(timing, roster, reports);
        this.steps = List.of(
                new SettlementStep(timing, authority, configuration, reports, confirmations),
                new SeatStep(routerId, roster, witness),
                new RangeStep(routerId, timing, roster, witness, configuration, reports),
                new SliceStep(configuration, usableServers),
                new BalanceStep(configuration, usableServers, reports));
        timers.scheduleRepeating(PLAN_INTERVAL_MILLIS, this::planNext);
    }

    @Override
    public void handle(Event event, Moment now, Outbox out) {
        if (event instanceof Event.ControlLeaseHeld && readTerm < leadership.term()) {
            out.emit(new Action.ReadMap());
        } else if (event instanceof Event.MapRead read) {
            handleMapRead(read.map(), now, out);
        } else if (event instanceof Event.MapWriteEnded ended) {
            handleMapWriteEnded(ended, now, out);
        } else if (event instanceof Event.PeerMessageReceived received && triggersPlanning(received.message())) {
            planNext(now, out);
        }
    }

    /**
     * Returns whether {@code message} may let a waiting change proceed, so that planning starts at once. A pong does
     * only while an assignment or a change of seats is unsettled. Everything else waits for the next planning
     * interval.
     */
    private boolean triggersPlanning(PeerMessage message) {
        return message instanceof PeerMessage.GrantGivenUp
                || message instanceof PeerMessage.RangeReleased
                || (message instanceof PeerMessage.Pong && maps.hasUnsettled());
    }

    private void handleMapRead(OwnershipMap read, Moment now, Outbox out) {
        if (pendingWrite != null && (isOutcomeUnknown || read.version() >= pendingWrite.version())) {
            boolean wasOurs = pendingWrite.writeId().equals(read.writeId());
            pendingWrite = null;
            isOutcomeUnknown = false;
            publishIf(wasOurs, now, out);
        }
        if (leadership.isController(now) && readTerm < leadership.term()) {
            readTerm = leadership.term();
            confirmations.clear();
        }
        planNext(now, out);
    }

    private void handleMapWriteEnded(Event.MapWriteEnded ended, Moment now, Outbox out) {
        if (pendingWrite == null || !pendingWrite.writeId().equals(ended.writeId())) {
            return;
        }
        if (ended.outcome() == WriteOutcome.ACCEPTED) {
            maps.adoptIfNewer(pendingWrite, out);
            pendingWrite = null;
            publish(now, out);
            planNext(now, out);
        } else {
            isOutcomeUnknown = ended.outcome() == WriteOutcome.UNKNOWN;
            pendingWrite = isOutcomeUnknown ? pendingWrite : null;
            readTerm = -1;
            out.emit(new Action.ReadMap());
        }
    }

    private void publishIf(boolean isOurs, Moment now, Outbox out) {
        if (isOurs) {
            publish(now, out);
        }
    }

    private void publish(Moment now, Outbox out) {
        for (String peer : roster.peers()) {
            out.send(peer, new PeerMessage.MapUpdate(maps.map()));
            witness.ping(peer, now, out);
        }
    }

    private void planNext(Moment now, Outbox out) {
        if (!mayPlan(now)) {
            return;
        }
        OwnershipMap map = maps.map();
        confirmations.recordMap(map, now);
        OwnershipMap planned = map;
        for (PlanStep step : steps) {
            planned = step.plan(planned, now);
        }
        if (!planned.equals(map) || map.term() < leadership.term()) {
            write(MapEdits.nextVersion(planned, leadership.term(), nextWriteId()), now, out);
        }
    }

    private boolean mayPlan(Moment now) {
        return leadership.isController(now)
                && readTerm == leadership.term()
                && pendingWrite == null
                && configuration.current().isPresent();
    }

    private String nextWriteId() {
        writeCount++;
        return routerId + "-" + writeCount;
    }

    private void write(OwnershipMap planned, Moment now, Outbox out) {
        confirmations.recordWrite(planned.writeId(), now);
        pendingWrite = planned;
        out.emit(new Action.WriteMap(planned));
    }
}
