package org.daisyscale.router.internal.backend;

import org.daisyscale.core.Action;
import org.daisyscale.core.request.BackendOutcome;
import org.daisyscale.router.internal.request.BackendAnswer;

/**
 * The result of an order. Immutable.
 *
 * @param order the order
 * @param outcome the outcome of the order
 * @param serviceMicros the time from sending to the end of the call, in microseconds; 0 if the order was not sent
 * @param answer the complete answer; null unless the outcome is {@link BackendOutcome#ANSWERED}
 */
record OrderResult(Action.SendOrder order, BackendOutcome outcome, long serviceMicros, BackendAnswer answer) {}
