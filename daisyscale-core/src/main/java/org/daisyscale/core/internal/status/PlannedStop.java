package org.daisyscale.core.internal.status;

import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;
import org.daisyscale.core.internal.CoreComponent;
import org.daisyscale.core.internal.Outbox;
import org.daisyscale.core.internal.TimerQueue;
import org.daisyscale.core.internal.dispatch.Dispatcher;
import org.daisyscale.core.internal.entry.EntryRouter;
import org.daisyscale.core.internal.entry.Readiness;
import org.daisyscale.core.internal.membership.Roster;
import org.daisyscale.core.internal.ownership.Witness;

/**
 * Completes a planned stop once this router rejects new requests, has no request in progress, and either dispatches no
 * range or has no successor to release its ranges to. Not thread-safe; confined to the core thread.
 */
public final class PlannedStop implements CoreComponent {
    private static final long CHECK_INTERVAL_MILLIS = 50;

    private final Readiness readiness;
    private final EntryRouter entry;
    private final Dispatcher dispatcher;
    private final Witness witness;
    private final Roster roster;
    private final TimerQueue timers;

    /** Creates a component that waits for a planned stop to be requested. */
    public PlannedStop(
            Readiness readiness,
            EntryRouter entry,
            Dispatcher dispatcher,
            Witness witness,
            Roster roster,
            TimerQueue timers) {
        this.readiness = readiness;
        this.entry = entry;
        this.dispatcher = dispatcher;
        this.witness = witness;
        this.roster = roster;
        this.timers = timers;
    }

    @Override
    public void handle(Event event, Moment now, Outbox out) {
        if (event instanceof Event.StopRequested) {
            timers.schedule(now.nanos(), this::check);
        }
    }

    private void check(Moment now, Outbox out) {
        boolean isIdle = readiness.isClosed() && entry.runningCount() == 0;
        if (isIdle && (!dispatcher.hasOpenRanges() || !hasSuccessor(now))) {
            out.emit(new Action.StopNow());
        } else {
            timers.schedule(now.nanosAfterMillis(CHECK_INTERVAL_MILLIS), this::check);
        }
    }

    private boolean hasSuccessor(Moment now) {
        return roster.peers().stream().anyMatch(router -> witness.isHeard(router, now) && !witness.isStopping(router));
    }
}
