package org.daisyscale.core.internal.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.daisyscale.core.Moment;
import org.daisyscale.core.internal.Outbox;
import org.daisyscale.core.internal.ownership.RangeKey;
import org.daisyscale.core.ownership.RangeAssignment;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.request.Permit;

/**
 * Collects the orders in flight whose ranges have new dispatchers, and reports the orders to these. An instance serves
 * one map change. Not thread-safe; confined to the core thread.
 */
final class InFlightReports {
    private final RangeFinder ranges;
    private final Map<RangeKey, List<PeerMessage.InFlightOrder>> ordersByRange = new TreeMap<>();

    InFlightReports(RangeFinder ranges) {
        this.ranges = ranges;
    }

    /** Collects the orders of {@code request} whose ranges have a new dispatcher, and reassigns them to it. */
    void collect(EntryRequest request, Moment now) {
        for (SentOrder order : request.orders()) {
            Permit permit = order.permit();
            RangeKey key = new RangeKey(permit.service(), permit.range());
            Optional<RangeAssignment> next =
                    ranges.assignment(key).filter(range -> !range.router().equals(order.dispatcher()));
            if (next.isPresent()) {
                request.reassignOrder(order, next.get().router());
                ordersByRange.computeIfAbsent(key, created -> new ArrayList<>()).add(inFlight(request, permit, now));
            }
        }
    }

    private static PeerMessage.InFlightOrder inFlight(EntryRequest request, Permit permit, Moment now) {
        return new PeerMessage.InFlightOrder(
                permit.orderId(),
                permit.server(),
                request.kind().name(),
                request.meta().idempotencyKey(),
                request.remainingMillis(now.nanos()));
    }

    /** Sends one report per range. */
    void send(Outbox out) {
        ordersByRange.forEach((key, orders) -> ranges.assignment(key)
                .ifPresent(range -> out.send(
                        range.router(),
                        new PeerMessage.InFlightReport(key.service(), key.range(), range.epoch(), orders))));
    }
}
