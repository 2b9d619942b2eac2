package org.daisyscale.core.internal.serving;

import org.daisyscale.core.serving.Route;
import org.daisyscale.core.serving.ServingAction;

/** Whether a request that arrived is opened. Immutable. */
sealed interface ArrivalCheck {

    /** The request is opened for {@code caller} on {@code route}. */
    record Accepted(Route route, Caller caller) implements ArrivalCheck {}

    /** The request is rejected at once. */
    record Rejected(ServingAction.Reject rejection) implements ArrivalCheck {}
}
