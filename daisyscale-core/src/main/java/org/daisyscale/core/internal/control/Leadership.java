package org.daisyscale.core.internal.control;

import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;
import org.daisyscale.core.TimingSettings;
import org.daisyscale.core.internal.CoreComponent;
import org.daisyscale.core.internal.Outbox;
import org.daisyscale.core.internal.TimerQueue;

/**
 * Tracks whether this router holds the control lease. The lease is counted from before its renewal was sent and is
 * shortened by the maximum clock drift. The lease only prevents routers from competing as controllers; the
 * compare-and-swap on the map makes a change safe. Not thread-safe; confined to the core thread.
 */
public final class Leadership implements CoreComponent {
    private static final int RENEWALS_PER_LEASE = 4;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long PER_MILLE = 1_000L;

    private final String routerId;
    private final TimingSettings timing;
    private String holder = "";
    private long term;
    private long endsNanos = Long.MIN_VALUE;
    private boolean isStopping;

    /** Creates the state of a router without the lease and schedules its attempts to acquire or renew the lease. */
    public Leadership(String routerId, TimingSettings timing, TimerQueue timers) {
        this.routerId = routerId;
        this.timing = timing;
        timers.scheduleRepeating(timing.controlLeaseMillis() / RENEWALS_PER_LEASE, this::requestLease);
    }

    private void requestLease(Moment now, Outbox out) {
        if (!isStopping) {
            out.emit(new Action.HoldControlLease());
        }
    }

    @Override
    public void handle(Event event, Moment now, Outbox out) {
        if (event instanceof Event.ControlLeaseHeld held && !isStopping) {
            recordLease(held);
        } else if (event instanceof Event.ControlLeaseLost lost) {
            endsNanos = Long.MIN_VALUE;
            holder = lost.holder();
        } else if (event instanceof Event.StopRequested) {
            stop(now, out);
        }
    }

    private void recordLease(Event.ControlLeaseHeld held) {
        term = held.term();
        holder = routerId;
        long leaseNanos = timing.controlLeaseMillis() * NANOS_PER_MILLI;
        endsNanos = held.requestedNanos() + leaseNanos * (PER_MILLE - timing.driftPerMille()) / PER_MILLE;
    }

    private void stop(Moment now, Outbox out) {
        isStopping = true;
        if (isController(now)) {
            out.emit(new Action.ReleaseControlLease());
        }
        endsNanos = Long.MIN_VALUE;
    }

    /** Returns whether this router holds the lease at {@code now}. */
    public boolean isController(Moment now) {
        return now.nanos() < endsNanos;
    }

    /** Returns the router that held the lease when this router last tried to acquire it; empty if unknown. */
    public String holder() {
        return holder;
    }

    /** Returns the term of the lease that this router held last; 0 if it never held it. */
    public long term() {
        return term;
    }
}
