package org.daisyscale.core;

import java.util.List;

/**
 * Makes the decisions of one router as a deterministic function of state, event and time: the same events at the same
 * moments with the same seed yield the same actions.
 *
 * <p>Not thread-safe; confined to the core thread. Implementations never block, read no clock and perform no input or
 * output.
 *
 * <pre>{@code
 * DecisionCore core = new RouterCore(settings);
 * List<Action> actions = core.handle(new Event.TimePassed(), moment);
 * }</pre>
 */
public interface DecisionCore {

    /**
     * Returns the actions that follow from {@code event}, in order.
     *
     * @param now the time of the event; must not be earlier than in the previous call
     */
    List<Action> handle(Event event, Moment now);

    /**
     * Returns the time on the router's monotonic clock at which the next {@link Event.TimePassed} is due, in
     * nanoseconds; {@link Long#MAX_VALUE} for never.
     */
    long nextDueNanos();
}
