package org.daisyscale.router.internal.duty;

import java.util.List;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;

/** Observes each decision, for metrics and traces. Called on the decision thread; implementations must not block. */
public interface DecisionObserver {

    /** Called when the core decided {@code actions} on {@code event} at {@code moment} in {@code durationNanos} ns. */
    void decided(Event event, Moment moment, List<Action> actions, long durationNanos);

    /** Called when the core threw {@code failure} on {@code event}. */
    void failed(Event event, RuntimeException failure);
}
