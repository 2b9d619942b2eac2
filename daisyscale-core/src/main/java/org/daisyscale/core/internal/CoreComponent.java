package org.daisyscale.core.internal;

import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;

/**
 * A component of the core. Each component receives every event, holds the state of one responsibility and emits
 * actions. Not thread-safe; confined to the core thread.
 */
public interface CoreComponent {

    /** Updates this component's state from {@code event} and emits the resulting actions to {@code out}. */
    void handle(Event event, Moment now, Outbox out);
}
