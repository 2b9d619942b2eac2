package org.daisyscale.core.internal.dispatch;

import java.util.Optional;
import org.daisyscale.core.Moment;
import org.daisyscale.core.internal.ownership.RangeKey;
import org.daisyscale.core.internal.ownership.ServerClock;
import org.daisyscale.core.membership.VmRecord;
import org.daisyscale.core.ownership.SliceAssignment;
import org.daisyscale.core.request.Permit;

/**
 * Creates the permits of one dispatch range. Each has a unique order id, a send limit on the entry router's clock and a
 * deadline on the server's clock; both times are conservative by the maximum clock drift. Not thread-safe; confined to
 * the core thread.
 */
final class PermitFactory {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long PER_MILLE = 1_000L;

    private final String orderIdPrefix;
    private final RangeKey key;
    private final DispatchContext context;
    private long orderCount;

    PermitFactory(String routerId, RangeKey key, long epoch, DispatchContext context) {
        this.orderIdPrefix = "%s-%s-%d-%d-".formatted(routerId, key.service(), key.range(), epoch);
        this.key = key;
        this.context = context;
    }

    Permit create(
            WaitingRequest request, VmRecord server, ServerClock clock, Optional<SliceAssignment> slice, Moment now) {
        orderCount++;
        return new Permit(
                orderIdPrefix + orderCount,
                key.service(),
                key.range(),
                server.id(),
                server.host(),
                server.httpPort(),
                slice.map(SliceAssignment::epoch).orElse(0L),
                context.maps().version(),
                waitedMillis(request, now) + context.timing().permitLifeMillis(),
                clock.lowerBoundMillis(
                        startBeforeNanos(request, now), context.timing().driftPerMille()),
                request.permitRequest().keyHash());
    }

    /**
     * Returns the latest start of the order. An order to a server that doesn't check its sender must start soon, so
     * that a takeover of the range waits only briefly.
     */
    private long startBeforeNanos(WaitingRequest request, Moment now) {
        boolean isUnchecked = context.configuration()
                .policies()
                .service(key.service())
                .map(service -> service.isExclusive() && !service.checksOrders())
                .orElse(false);
        long limitNanos = now.nanosAfterMillis(context.timing().uncheckedStartLimitMillis());
        return isUnchecked ? Math.min(request.deadlineNanos(), limitNanos) : request.deadlineNanos();
    }

    /** Returns the waiting time, less the clock drift: the least time that has passed on the entry router's clock. */
    private long waitedMillis(WaitingRequest request, Moment now) {
        long millis = (now.nanos() - request.arrivedNanos()) / NANOS_PER_MILLI;
        return millis - millis * context.timing().driftPerMille() / PER_MILLE;
    }
}
