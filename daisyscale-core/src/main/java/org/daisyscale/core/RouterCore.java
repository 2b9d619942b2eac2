package org.daisyscale.core;

import java.util.List;
import java.util.Optional;
import org.daisyscale.core.internal.CoreAssembly;
import org.daisyscale.core.internal.CoreComponent;
import org.daisyscale.core.internal.Outbox;
import org.daisyscale.core.internal.TimerQueue;

/**
 * The {@link DecisionCore} of a router: runs the timers that are due and then passes each event to all components in a
 * fixed order. Not thread-safe; confined to the core thread.
 *
 * <pre>{@code
 * DecisionCore core = new RouterCore(settings);
 * List<Action> actions = core.handle(new Event.TimePassed(), moment);
 * }</pre>
 */
public final class RouterCore implements DecisionCore {
    private final TimerQueue timers = new TimerQueue();
    private final Outbox out;
    private final List<CoreComponent> components;

    /** Creates a core with empty state. */
    public RouterCore(CoreSettings settings) {
        this(settings, RenewalMode.WITNESS);
    }

    /** Creates a core with empty state that renews its authority in the given mode; for comparisons. */
    public RouterCore(CoreSettings settings, RenewalMode renewalMode) {
        this.out = new Outbox(settings.routerId());
        this.components = CoreAssembly.assemble(settings, renewalMode, timers);
    }

    @Override
    public List<Action> handle(Event event, Moment now) {
        timers.runDue(now, out);
        deliver(event, now);
        Optional<Event> loopback = out.nextLoopback();
        while (loopback.isPresent()) {
            deliver(loopback.get(), now);
            loopback = out.nextLoopback();
        }
        return out.drain();
    }

    private void deliver(Event event, Moment now) {
        components.forEach(component -> component.handle(event, now, out));
    }

    @Override
    public long nextDueNanos() {
        return timers.nextDueNanos();
    }
}
