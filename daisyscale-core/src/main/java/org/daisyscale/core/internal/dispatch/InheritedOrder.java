package org.daisyscale.core.internal.dispatch;

import org.daisyscale.core.Moment;
import org.daisyscale.core.document.RequestKind;
import org.daisyscale.core.internal.ownership.RangeKey;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.request.Permit;

/**
 * An order in flight that an entry router sent under a permit of an earlier dispatcher of the range. Immutable.
 *
 * @param request the request, with the fields that the in-flight report carries
 * @param order the order as the entry router reported it
 */
record InheritedOrder(WaitingRequest request, PeerMessage.InFlightOrder order) {
    private static final long NO_HASH = -1;
    private static final long RETURN_GRACE_MILLIS = 500;

    static InheritedOrder of(
            String router, PeerMessage.InFlightOrder order, RequestKind kind, RangeKey key, Moment now) {
        PeerMessage.PermitRequest permitRequest = new PeerMessage.PermitRequest(
                order.orderId(),
                key.service(),
                kind.name(),
                key.range(),
                NO_HASH,
                "",
                order.idempotencyKey(),
                "",
                1,
                "",
                false,
                order.remainingMillis());
        long deadlineNanos = now.nanosAfterMillis(order.remainingMillis());
        return new InheritedOrder(new WaitingRequest(router, permitRequest, kind, now.nanos(), deadlineNanos), order);
    }

    OutstandingPermit permit(Moment now) {
        Permit permit = new Permit(
                order.orderId(),
                request.permitRequest().service(),
                request.permitRequest().range(),
                order.server(),
                "",
                0,
                0,
                0,
                0,
                0,
                NO_HASH);
        long expiresNanos = now.nanosAfterMillis(order.remainingMillis() + RETURN_GRACE_MILLIS);
        return new OutstandingPermit(request, permit, NO_HASH, now.nanos(), expiresNanos);
    }
}
