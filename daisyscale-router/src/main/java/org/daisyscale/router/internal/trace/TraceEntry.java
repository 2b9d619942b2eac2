package org.daisyscale.router.internal.trace;

import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;

/**
 * One event handled by the core, as recorded in a trace. Immutable.
 *
 * @param event the event
 * @param moment the time at which the core handled the event
 */
public record TraceEntry(Event event, Moment moment) {}
