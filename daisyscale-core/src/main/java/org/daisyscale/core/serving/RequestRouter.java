package org.daisyscale.core.serving;

import java.util.List;
import org.daisyscale.core.internal.serving.RequestRouters;

/**
 * Makes the decisions of the request path. The actions depend only on the router's state, the event and the time. Each
 * request gets exactly one {@link ServingAction.Deliver} or {@link ServingAction.Reject}, unless its caller disconnects
 * first. Not thread-safe; confined to one thread.
 *
 * <pre>{@code
 * RequestRouter router = RequestRouter.create(settings);
 * List<ServingAction> actions = router.handle(new ServingEvent.RequestArrived(1, head, atNanos), System.nanoTime());
 * }</pre>
 */
public interface RequestRouter {

    /** Returns the actions for {@code event}; {@code nowNanos} is the time by the monotonic clock. */
    List<ServingAction> handle(ServingEvent event, long nowNanos);

    /**
     * Returns when {@link ServingEvent.TimePassed} is due next, in nanoseconds of the monotonic clock;
     * {@link Long#MAX_VALUE} for never.
     */
    long nextDueNanos();

    /** Returns a router without configuration, servers or key maps. */
    static RequestRouter create(ServingSettings settings) {
        return RequestRouters.create(settings);
    }
}
