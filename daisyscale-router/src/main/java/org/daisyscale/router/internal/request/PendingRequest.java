package org.daisyscale.router.internal.request;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * A request between its arrival and its reply, with the answers to its orders. At most one reply is sent. Thread-safe.
 */
public final class PendingRequest {
    private final CallerRequest request;
    private final ByteBudget.Reservation reservation;
    private final Consumer<CallerReply> onReply;
    private final Map<String, BackendAnswer> answerByOrderId = new ConcurrentHashMap<>();
    private final AtomicBoolean isReplied = new AtomicBoolean();

    /** Creates a pending request; {@code onReply} must not block. */
    public PendingRequest(CallerRequest request, ByteBudget.Reservation reservation, Consumer<CallerReply> onReply) {
        this.request = request;
        this.reservation = reservation;
        this.onReply = onReply;
    }

    /** Returns the request. */
    public CallerRequest request() {
        return request;
    }

    /** Stores the complete answer to the order {@code orderId} and adds its size to the reservation. */
    public void storeAnswer(String orderId, BackendAnswer answer) {
        reservation.grow(answer.body().length);
        answerByOrderId.put(orderId, answer);
    }

    /** Returns the complete answer to the order {@code orderId}, or empty if none was stored. */
    public Optional<BackendAnswer> answer(String orderId) {
        return Optional.ofNullable(answerByOrderId.get(orderId));
    }

    void reply(CallerReply reply) {
        if (isReplied.compareAndSet(false, true)) {
            onReply.accept(reply);
        }
    }
}
