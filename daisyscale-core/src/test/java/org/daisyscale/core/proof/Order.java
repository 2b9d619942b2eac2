package org.daisyscale.core.proof;

import org.daisyscale.core.request.Permit;
import org.daisyscale.core.request.RequestMeta;

/**
 * An order that a router sends to a backend server. Immutable except for the state of {@code target}.
 *
 * @param submissionId the router and its request id, as in {@link Submission#id()}
 * @param meta the request's metadata
 * @param permit the permit that the dispatcher granted
 * @param target the server that the permit names
 * @param incarnationNumber the server's incarnation when the order was sent
 */
record Order(String submissionId, RequestMeta meta, Permit permit, FakeServer target, int incarnationNumber) {

    /**
     * Returns whether this order has an older epoch at another server and may still start when {@code newer} starts.
     */
    boolean mayStartConcurrentlyWith(Order newer) {
        return permit.service().equals(newer.permit.service())
                && permit.keyHash() == newer.permit.keyHash()
                && permit.epoch() < newer.permit.epoch()
                && target != newer.target
                && target.isUp()
                && target.incarnationNumber() == incarnationNumber
                && target.clockMillis() < permit.deadlineServerMillis();
    }

    @Override
    public String toString() {
        return "%s(%s epoch=%d at %s)".formatted(submissionId, permit.orderId(), permit.epoch(), permit.server());
    }
}
