package org.daisyscale.core.internal.ownership;

import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;
import org.daisyscale.core.internal.CoreComponent;
import org.daisyscale.core.internal.Outbox;
import org.daisyscale.core.internal.TimerQueue;

/**
 * Derives authority from this router's own reads of the map: a read gives authority for one horizon. With a short
 * horizon an outage of the platform's service stops all routers; with a long horizon every takeover waits that long.
 * Not thread-safe; confined to the core thread.
 */
public final class ServiceReadAuthority implements RenewalAuthority, CoreComponent {
    private static final long MAX_READ_MILLIS = 1_000;
    private static final long READS_PER_HORIZON = 3;

    private final long horizonMillis;
    private long endsNanos = Long.MIN_VALUE;

    /** Creates an authority that lasts {@code horizonMillis} after each read, and schedules the reads. */
    public ServiceReadAuthority(long horizonMillis, TimerQueue timers) {
        this.horizonMillis = horizonMillis;
        timers.scheduleRepeating(horizonMillis / READS_PER_HORIZON, (now, out) -> out.emit(new Action.ReadMap()));
    }

    @Override
    public void handle(Event event, Moment now, Outbox out) {
        if (event instanceof Event.MapRead) {
            endsNanos = now.nanosAfterMillis(horizonMillis);
        }
    }

    @Override
    public long endsNanos(Moment now) {
        return endsNanos;
    }

    @Override
    public boolean isConfirmed(long version, Moment now) {
        return true;
    }

    @Override
    public long periodMillis() {
        return horizonMillis + MAX_READ_MILLIS;
    }
}
