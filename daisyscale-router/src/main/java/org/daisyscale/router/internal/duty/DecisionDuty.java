package org.daisyscale.router.internal.duty;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.daisyscale.core.Action;
import org.daisyscale.core.DecisionCore;
import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;
import org.daisyscale.router.internal.ring.Ring;

/**
 * Runs the decision core: takes events from the ring, passes the core a {@link Event.TimePassed} whenever one is due,
 * also under steady load, and routes the resulting actions. Never blocks on another duty's ring, so that a thread that
 * waits for space in the event ring waits only for decisions. Not thread-safe; confined to the core thread.
 *
 * <pre>{@code
 * DecisionDuty duty = new DecisionDuty(core, events, router, RouterClock.system(), observer, () -> true);
 * try (DutyThread thread = DutyThread.start("decisions", duty::runStep)) {
 *     stopSignal.awaitStopRequest();
 * }
 * }</pre>
 */
public final class DecisionDuty {
    private static final Duration MAX_WAIT = Duration.ofSeconds(1);

    private final DecisionCore core;
    private final Ring<Event> events;
    private final ActionRouter actions;
    private final RouterClock clock;
    private final DecisionObserver observer;
    private final BooleanSupplier mayContinue;
    private final Deque<Event> followUps = new ArrayDeque<>();

    /**
     * Creates the duty, which takes exclusive use of {@code core}. Once {@code mayContinue} returns false, the duty
     * routes no further action and ends.
     */
    public DecisionDuty(
            DecisionCore core,
            Ring<Event> events,
            ActionRouter actions,
            RouterClock clock,
            DecisionObserver observer,
            BooleanSupplier mayContinue) {
        this.core = core;
        this.events = events;
        this.actions = actions;
        this.clock = clock;
        this.observer = observer;
        this.mayContinue = mayContinue;
    }

    /** Waits for an event or for the core's next due time and runs the core. */
    public void runStep() throws InterruptedException {
        if (!mayContinue.getAsBoolean()) {
            throw new InterruptedException("the router must stop because of a fault");
        }
        events.poll(timeUntilDue()).ifPresent(this::decideWithFollowUps);
        if (core.nextDueNanos() - clock.now().nanos() <= 0) {
            decideWithFollowUps(new Event.TimePassed());
        }
    }

    private Duration timeUntilDue() {
        long waitNanos = core.nextDueNanos() - clock.now().nanos();
        return Duration.ofNanos(Math.max(0, Math.min(waitNanos, MAX_WAIT.toNanos())));
    }

    private void decideWithFollowUps(Event event) {
        followUps.add(event);
        while (!followUps.isEmpty()) {
            decide(followUps.remove());
        }
    }

    private void decide(Event event) {
        Moment now = clock.now();
        List<Action> decided;
        try {
            decided = core.handle(event, now);
        } catch (RuntimeException e) {
            observer.failed(event, e);
            return;
        }
        observer.decided(event, now, decided, clock.now().nanos() - now.nanos());
        decided.forEach(this::route);
    }

    private void route(Action action) {
        if (mayContinue.getAsBoolean()) {
            followUps.addAll(actions.route(action));
        }
    }
}
