package org.daisyscale.router.internal.assembly;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import org.daisyscale.core.Action;
import org.daisyscale.core.DecisionCore;
import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;

/** A core that decides with a given function and queues the events it handled. */
public final class ScriptedCore implements DecisionCore {
    private final BiFunction<Event, Moment, List<Action>> script;
    private final BlockingQueue<Event> handledEvents = new LinkedBlockingQueue<>();

    public ScriptedCore(BiFunction<Event, Moment, List<Action>> script) {
        this.script = script;
    }

    @Override
    public List<Action> handle(Event event, Moment now) {
        handledEvents.add(event);
        return script.apply(event, now);
    }

    @Override
    public long nextDueNanos() {
        return Long.MAX_VALUE;
    }

    /** Removes events up to the next one of {@code kind} and returns that; fails after ten seconds. */
    public <E extends Event> E awaitEvent(Class<E> kind) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (true) {
            Event event = handledEvents.poll(endNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
            if (event == null) {
                throw new AssertionError("no " + kind.getSimpleName() + " event arrived");
            }
            if (kind.isInstance(event)) {
                return kind.cast(event);
            }
        }
    }

    /** Returns the number of handled events that have not been removed. */
    public int remainingEventCount() {
        return handledEvents.size();
    }

    /** Returns whether no event of {@code kind} is queued. */
    public boolean hasNone(Class<? extends Event> kind) {
        return handledEvents.stream().noneMatch(kind::isInstance);
    }
}
