package org.daisyscale.router.internal.backend;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.request.BackendOutcome;
import org.daisyscale.router.internal.duty.DutyThread;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.internal.metrics.RouterMetrics;
import org.daisyscale.router.internal.request.PendingRequest;
import org.daisyscale.router.internal.request.PendingRequests;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;

/**
 * Sends orders to backend servers and cancels them. Each accepted order produces exactly one {@link Event.OrderEnded}.
 * When the ring is full, an order ends immediately as not sent and a cancellation is dropped. Thread-safe.
 *
 * <pre>{@code
 * try (BackendCalls calls = BackendCalls.start(clients, settings, pending, events, metrics)) {
 *     actions.on(Action.SendOrder.class, calls::send);
 * }
 * }</pre>
 */
public final class BackendCalls implements AutoCloseable {
    private static final Duration RING_POLL_TIMEOUT = Duration.ofSeconds(1);

    private final BackendClients clients;
    private final BackendSettings settings;
    private final PendingRequests pending;
    private final Ring<Event> events;
    private final RouterMetrics metrics;
    private final Ring<Action> ring;
    private final Map<String, OrderCall> callByOrderId = new ConcurrentHashMap<>();
    private final DutyThread thread;

    private BackendCalls(
            BackendClients clients,
            BackendSettings settings,
            PendingRequests pending,
            Ring<Event> events,
            RouterMetrics metrics) {
        this.clients = clients;
        this.settings = settings;
        this.pending = pending;
        this.events = events;
        this.metrics = metrics;
        this.ring = new ArrayRing<>("backend-calls", settings.ringCapacity());
        metrics.registerRingDepth(ring);
        this.thread = DutyThread.start("backend-calls", this::runStep);
    }

    /** Starts the duty thread. */
    public static BackendCalls start(
            BackendClients clients,
            BackendSettings settings,
            PendingRequests pending,
            Ring<Event> events,
            RouterMetrics metrics) {
        return new BackendCalls(clients, settings, pending, events, metrics);
    }

    /** Enqueues an order; returns its {@link Event.OrderEnded} if the ring is full, and no events otherwise. */
    public List<Event> send(Action.SendOrder order) {
        if (ring.offer(order)) {
            return List.of();
        }
        metrics.recordRingFull(ring.name());
        metrics.recordOrderEnd(BackendOutcome.NOT_SENT);
        return List.of(orderNotSent(order));
    }

    /** Enqueues a cancellation; drops it if the ring is full. */
    public void cancel(Action.CancelOrder order) {
        if (!ring.offer(order)) {
            metrics.recordRingFull(ring.name());
        }
    }

    private void runStep() throws InterruptedException {
        Optional<Action> action = ring.poll(RING_POLL_TIMEOUT);
        if (action.isEmpty()) {
            return;
        }
        if (action.get() instanceof Action.SendOrder order) {
            sendOrder(order);
        } else if (action.get() instanceof Action.CancelOrder cancel) {
            cancelOrder(cancel);
        }
    }

    private void sendOrder(Action.SendOrder order) throws InterruptedException {
        Optional<PendingRequest> request = pending.find(order.requestId());
        if (request.isEmpty() || System.nanoTime() - order.sendBeforeNanos() > 0) {
            metrics.recordOrderEnd(BackendOutcome.NOT_SENT);
            events.put(orderNotSent(order));
            return;
        }
        OrderCall call = new OrderCall(
                clients.orderClients(),
                request.get().request(),
                order,
                settings,
                result -> orderEnded(request.get(), result));
        callByOrderId.put(order.permit().orderId(), call);
        clients.loops().fork().start(call::start);
    }

    private void orderEnded(PendingRequest request, OrderResult result) {
        metrics.recordOrderEnd(result.outcome());
        String orderId = result.order().permit().orderId();
        callByOrderId.remove(orderId);
        if (result.answer() != null) {
            request.storeAnswer(orderId, result.answer());
        }
        putEvent(new Event.OrderEnded(result.order().requestId(), orderId, result.outcome(), result.serviceMicros()));
    }

    private void putEvent(Event event) {
        try {
            events.put(event);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            EventLog.warn("event-lost-at-stop", event.getClass().getSimpleName());
        }
    }

    /** Sends the cancellation to the server and ends the call shortly after, even if the server continues. */
    private void cancelOrder(Action.CancelOrder cancel) {
        OrderCall call = callByOrderId.get(cancel.permit().orderId());
        if (call != null) {
            sendCancellation(cancel);
            call.cancel();
        }
    }

    private void sendCancellation(Action.CancelOrder cancel) {
        URI target = URI.create(
                "http://" + cancel.permit().host() + ":" + cancel.permit().port() + "/daisyscale/orders/"
                        + cancel.permit().orderId());
        Duration timeout = Duration.ofMillis(settings.controlTimeoutMillis());
        clients.loops()
                .fork()
                .start(execution -> clients.controlClient()
                        .request(target, spec -> spec.delete().redirects(0).readTimeout(timeout))
                        .onError(failure -> EventLog.debug("cancel-unanswered", "requestId=" + cancel.requestId()))
                        .then(response -> EventLog.debug("order-cancelled", "requestId=" + cancel.requestId())));
    }

    private static Event orderNotSent(Action.SendOrder order) {
        return new Event.OrderEnded(order.requestId(), order.permit().orderId(), BackendOutcome.NOT_SENT, 0);
    }

    @Override
    public void close() {
        thread.close();
    }
}
