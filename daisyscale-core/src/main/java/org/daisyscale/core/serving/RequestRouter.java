package org.daisyscale.core.serving;

import java.util.List;
import org.daisyscale.core.internal.serving.RequestRouters;

/**
 * The decisions of the request path: a deterministic function of its state, an event and the time. Each request gets
 * exactly one {@link ServingAction.Deliver} or {@link ServingAction.Refuse}, unless its caller left before. Not safe
 * for use by several threads.
 *
 * <pre>{@code
 * RequestRouter router = RequestRouter.create(settings);
 * List<ServingAction> actions = router.handle(new ServingEvent.RequestArrived(1, head, cameNanos), System.nanoTime());
 * }</pre>
 */
public interface RequestRouter {

    /** Decides on {@code event} at {@code nowNanos} of the monotonic clock. */
    List<ServingAction> handle(ServingEvent event, long nowNanos);

    /** When {@link ServingEvent.TimePassed} is due next, in nanoseconds; {@link Long#MAX_VALUE} for never. */
    long nextDueNanos();

    /** A router that knows nothing yet. */
    static RequestRouter create(ServingSettings settings) {
        return RequestRouters.create(settings);
    }
}
