package org.daisyscale.core.internal.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.daisyscale.core.Moment;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.peer.PeerMessage.LedgerState;
import org.daisyscale.core.request.BackendOutcome;

/**
 * Buffers the messages for a dispatch range that arrive before this router opens it: the ledger of the previous
 * dispatcher, reports of orders in flight, and returns of their permits. Not thread-safe; confined to the core thread.
 */
final class HandoverBuffer {
    private final Map<String, BufferedOrder> orders = new LinkedHashMap<>();
    private final List<PeerMessage.PermitReturned> returnedPermits = new ArrayList<>();
    private PeerMessage.LedgerHandover handover;

    void add(PeerMessage.LedgerHandover received) {
        handover = received;
    }

    void add(String router, PeerMessage.InFlightReport report, Moment now) {
        report.orders().forEach(order -> orders.put(order.orderId(), new BufferedOrder(router, order, now)));
    }

    void add(PeerMessage.PermitReturned returned) {
        if (orders.containsKey(returned.orderId())) {
            returnedPermits.add(returned);
        }
    }

    Optional<PeerMessage.LedgerHandover> handover() {
        return Optional.ofNullable(handover);
    }

    /** Hands the orders still in flight over to {@code range}, and records the outcomes of the others in its ledger. */
    void applyTo(RangeDispatcher range, Moment now) {
        for (PeerMessage.PermitReturned returned : returnedPermits) {
            recordOutcome(range, orders.remove(returned.orderId()).order(), returned.outcome(), now);
        }
        orders.values().forEach(buffered -> range.takeOver(buffered.router(), buffered.order(), now));
    }

    private static void recordOutcome(
            RangeDispatcher range, PeerMessage.InFlightOrder order, BackendOutcome outcome, Moment now) {
        if (!order.idempotencyKey().isEmpty() && outcome == BackendOutcome.ANSWERED) {
            range.ledger().end(order.idempotencyKey(), LedgerState.RAN, now);
        }
    }

    private record BufferedOrder(String router, PeerMessage.InFlightOrder order, Moment receivedAt) {}
}
