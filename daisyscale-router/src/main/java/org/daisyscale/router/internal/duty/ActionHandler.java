package org.daisyscale.router.internal.duty;

import java.util.List;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;

/**
 * Passes one kind of action to its duty. Implementations must not block: if the duty's ring is full, they return the
 * events that report this to the core.
 *
 * @param <A> the kind of action
 */
@FunctionalInterface
public interface ActionHandler<A extends Action> {

    /** Passes on {@code action} and returns the events that the core must handle immediately; usually none. */
    List<Event> handle(A action);
}
