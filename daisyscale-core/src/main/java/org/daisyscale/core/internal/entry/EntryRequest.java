package org.daisyscale.core.internal.entry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.daisyscale.core.document.RequestKind;
import org.daisyscale.core.document.ServicePolicy;
import org.daisyscale.core.internal.configuration.ResolvedRequest;
import org.daisyscale.core.internal.dispatch.PermitRequestId;
import org.daisyscale.core.request.BackendOutcome;
import org.daisyscale.core.request.Permit;
import org.daisyscale.core.request.RequestMeta;

/**
 * Holds the state of a caller's request at its entry router. Invariant: a request that is not idempotent has at most
 * one order in flight, and none while a permit request is pending. Not thread-safe; confined to the core thread.
 */
final class EntryRequest {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final String requestId;
    private final RequestMeta meta;
    private final ResolvedRequest resolved;
    private final long deadlineNanos;
    private final Map<String, PendingPermitRequest> permitRequests = new LinkedHashMap<>();
    private final Map<String, SentOrder> orders = new LinkedHashMap<>();
    private int permitRequestCount;
    private int orderCount;
    private String excludedServer = "";
    private boolean mayHaveRun;
    private boolean isHedged;
    private boolean isAbandoned;

    EntryRequest(String requestId, RequestMeta meta, ResolvedRequest resolved, long deadlineNanos) {
        this.requestId = requestId;
        this.meta = meta;
        this.resolved = resolved;
        this.deadlineNanos = deadlineNanos;
    }

    String requestId() {
        return requestId;
    }

    RequestMeta meta() {
        return meta;
    }

    ServicePolicy service() {
        return resolved.service();
    }

    RequestKind kind() {
        return resolved.kind();
    }

    long keyHash() {
        return resolved.keyHash();
    }

    /** Returns the digest by which a request that crashed a server is recognized when it arrives again. */
    String digest() {
        return String.join(
                "|", service().name(), kind().name(), Long.toString(keyHash()), meta.path(), meta.bodyDigest());
    }

    long remainingMillis(long nowNanos) {
        return Math.max(0, (deadlineNanos - nowNanos) / NANOS_PER_MILLI);
    }

    /** Records a new pending permit request to {@code dispatcher}. */
    PendingPermitRequest openPermitRequest(String dispatcher, int range, long nowNanos, boolean forHedge) {
        permitRequestCount++;
        isHedged |= forHedge;
        PendingPermitRequest permitRequest = new PendingPermitRequest(
                PermitRequestId.of(requestId, permitRequestCount), dispatcher, range, nowNanos, forHedge);
        permitRequests.put(permitRequest.permitRequestId(), permitRequest);
        return permitRequest;
    }

    /** Removes and returns the permit request {@code permitRequestId}; empty when it is not pending. */
    Optional<PendingPermitRequest> closePermitRequest(String permitRequestId) {
        return Optional.ofNullable(permitRequests.remove(permitRequestId));
    }

    /** Removes and returns all pending permit requests. */
    List<PendingPermitRequest> closePermitRequests() {
        List<PendingPermitRequest> closed = List.copyOf(permitRequests.values());
        permitRequests.clear();
        return closed;
    }

    /** Removes the pending permit requests to {@code dispatcher}; returns whether there were any. */
    boolean closePermitRequestsTo(String dispatcher) {
        return permitRequests
                .values()
                .removeIf(permitRequest -> permitRequest.dispatcher().equals(dispatcher));
    }

    void recordSent(Permit permit, String dispatcher) {
        orderCount++;
        orders.put(permit.orderId(), new SentOrder(permit, dispatcher));
    }

    /** Removes and returns the order {@code orderId}, which ended; empty when it is not in flight. */
    Optional<SentOrder> endOrder(String orderId, BackendOutcome outcome) {
        SentOrder ended = orders.remove(orderId);
        mayHaveRun |= ended != null && outcome.isUnknown();
        return Optional.ofNullable(ended);
    }

    List<SentOrder> orders() {
        return new ArrayList<>(orders.values());
    }

    /** Changes the router that the permit of {@code order} is returned to. */
    void reassignOrder(SentOrder order, String newDispatcher) {
        orders.put(order.permit().orderId(), order.withDispatcher(newDispatcher));
    }

    /** Returns whether the request has no pending permit request and no order in flight. */
    boolean isIdle() {
        return permitRequests.isEmpty() && orders.isEmpty();
    }

    boolean hasOrders() {
        return !orders.isEmpty();
    }

    int orderCount() {
        return orderCount;
    }

    String excludedServer() {
        return excludedServer;
    }

    void exclude(String server) {
        excludedServer = server;
    }

    /** Returns whether an order ended without proof of whether the server ran it. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    boolean isHedged() {
        return isHedged;
    }

    boolean isAbandoned() {
        return isAbandoned;
    }

    void abandon() {
        isAbandoned = true;
    }
}
