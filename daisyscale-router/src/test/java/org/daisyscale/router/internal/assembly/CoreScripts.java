package org.daisyscale.router.internal.assembly;

import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.request.BackendOutcome;

/** Decisions shared by scripted cores. Stateless. */
final class CoreScripts {

    private CoreScripts() {}

    static Action replyTo(Event.OrderEnded ended) {
        if (ended.outcome() == BackendOutcome.ANSWERED) {
            return new Action.ForwardAnswer(ended.requestId(), ended.orderId(), "service", "kind");
        }
        CoreErrorCode code =
                ended.outcome().isNotRun() ? CoreErrorCode.REFUSED_BY_SERVER : CoreErrorCode.OUTCOME_UNKNOWN;
        return new Action.RefuseRequest(ended.requestId(), code, ended.outcome().name(), "service", "kind");
    }
}
