package org.daisyscale.core.internal.entry;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.error.CoreException;
import org.daisyscale.core.internal.CoreComponent;
import org.daisyscale.core.internal.Outbox;
import org.daisyscale.core.internal.TimerQueue;
import org.daisyscale.core.internal.configuration.ConfigurationTracker;
import org.daisyscale.core.internal.configuration.RequestResolver;
import org.daisyscale.core.internal.configuration.ResolvedRequest;
import org.daisyscale.core.internal.dispatch.PermitRequestId;
import org.daisyscale.core.internal.suspect.SuspectRegistry;
import org.daisyscale.core.ownership.RangeAssignment;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.request.BackendOutcome;
import org.daisyscale.core.request.Permit;

/**
 * Processes callers' requests: requests a permit from the dispatcher, sends the order, and ends the request with an
 * answer, a rejection that proves no server ran the request, or an unknown outcome. Only this router sends a request's
 * orders, so it can prove that none was sent. Not thread-safe; confined to the core thread.
 */
public final class EntryRouter implements CoreComponent {
    private static final int PROMISE = 5;
    private static final long PERMIT_RETRY_DELAY_MILLIS = 20;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_MICRO = 1_000L;

    private final ConfigurationTracker configuration;
    private final RangeFinder ranges;
    private final TimerQueue timers;
    private final Readiness readiness;
    private final SuspectRegistry suspects;
    private final RetryPolicy retries;
    private final HedgeDelays hedgeDelays = new HedgeDelays();
    private final Map<String, EntryRequest> requests = new LinkedHashMap<>();
    private final Map<String, SentOrder> cancelledOrders = new LinkedHashMap<>();
    private final UsedPermits usedPermits = new UsedPermits();

    /** Creates an entry router without requests; {@code seed} seeds the jitter of its retries. */
    public EntryRouter(
            ConfigurationTracker configuration,
            RangeFinder ranges,
            Readiness readiness,
            SuspectRegistry suspects,
            TimerQueue timers,
            long seed) {
        this.configuration = configuration;
        this.ranges = ranges;
        this.readiness = readiness;
        this.suspects = suspects;
        this.timers = timers;
        this.retries = new RetryPolicy(suspects, seed);
    }

    @Override
    public void handle(Event event, Moment now, Outbox out) {
        if (event instanceof Event.RequestArrived arrived) {
            begin(arrived, now, out);
        } else if (event instanceof Event.OrderEnded ended) {
            endOrder(ended, now, out);
        } else if (event instanceof Event.CallerGone gone) {
            abandon(gone.requestId(), out);
        } else if (event instanceof Event.PeerDisconnected disconnected) {
            retryPermitRequestsTo(disconnected.peer(), now);
        } else if (event instanceof Event.PeerMessageReceived received) {
            handleMessage(received, now, out);
        } else if (event instanceof Event.MapRead || event instanceof Event.MapWriteEnded) {
            applyMap(now, out);
        }
    }

    private void handleMessage(Event.PeerMessageReceived received, Moment now, Outbox out) {
        if (received.message() instanceof PeerMessage.PermitGranted granted) {
            sendOrder(received.from(), granted, now, out);
        } else if (received.message() instanceof PeerMessage.PermitRefused refused) {
            handlePermitRefused(refused, now, out);
        } else if (received.message() instanceof PeerMessage.MapUpdate) {
            applyMap(now, out);
        }
    }

    private void begin(Event.RequestArrived arrived, Moment now, Outbox out) {
        Optional<CoreErrorCode> notReady = readiness.rejection();
        if (notReady.isPresent()) {
            out.emit(new Action.RefuseRequest(arrived.requestId(), notReady.get(), "", "", ""));
            return;
        }
        try {
            begin(arrived, RequestResolver.resolve(configuration.policies(), arrived.meta()), now, out);
        } catch (CoreException e) {
            CoreErrorCode code = (CoreErrorCode) e.errorCode();
            out.emit(new Action.RefuseRequest(arrived.requestId(), code, e.detail(), "", ""));
        }
    }

    private void begin(Event.RequestArrived arrived, ResolvedRequest resolved, Moment now, Outbox out) {
        long deadlineNanos = now.nanosAfterMillis(resolved.kind().deadlineMillis());
        EntryRequest request = new EntryRequest(arrived.requestId(), arrived.meta(), resolved, deadlineNanos);
        requests.put(request.requestId(), request);
        if (suspects.isRejected(request::digest, now)) {
            reject(request, CoreErrorCode.SUSPECT_REQUEST, "", out);
            return;
        }
        retries.recordFirstAttempt(request);
        timers.schedule(deadlineNanos, (later, laterOut) -> endAtDeadline(request, laterOut));
        requestPermit(request, now, out);
    }

    private void requestPermit(EntryRequest request, Moment now, Outbox out) {
        Optional<RangeAssignment> range = ranges.find(request, now);
        if (range.isPresent()) {
            requestPermit(request, range.get(), request.excludedServer(), false, now, out);
        } else {
            requestPermitLater(request, PERMIT_RETRY_DELAY_MILLIS, now);
        }
    }

    private static void requestPermit(
            EntryRequest request, RangeAssignment range, String excluded, boolean isHedge, Moment now, Outbox out) {
        PendingPermitRequest permitRequest =
                request.openPermitRequest(range.router(), range.range(), now.nanos(), isHedge);
        out.send(
                permitRequest.dispatcher(),
                new PeerMessage.PermitRequest(
                        permitRequest.permitRequestId(),
                        request.service().name(),
                        request.kind().name(),
                        permitRequest.range(),
                        request.keyHash(),
                        request.meta().callerId(),
                        request.meta().idempotencyKey(),
                        request.meta().bodyDigest(),
                        request.orderCount() + 1,
                        excluded,
                        isHedge,
                        request.remainingMillis(now.nanos())));
    }

    private void requestPermitLater(EntryRequest request, long delayMillis, Moment now) {
        timers.schedule(now.nanosAfterMillis(delayMillis), (later, out) -> {
            if (isOpen(request) && request.isIdle()) {
                requestPermit(request, later, out);
            }
        });
    }

    private boolean isOpen(EntryRequest request) {
        return requests.containsKey(request.requestId());
    }

    private void sendOrder(String dispatcher, PeerMessage.PermitGranted granted, Moment now, Outbox out) {
        EntryRequest request = requests.get(PermitRequestId.requestOf(granted.requestId()));
        Optional<PendingPermitRequest> permitRequest =
                request == null ? Optional.empty() : request.closePermitRequest(granted.requestId());
        Permit permit = granted.permit();
        if (usedPermits.contains(permit)) {
            return;
        }
        if (permitRequest.isEmpty()) {
            returnPermit(new SentOrder(permit, dispatcher), BackendOutcome.NOT_SENT, 0, out);
            return;
        }
        usedPermits.add(permit);
        request.recordSent(permit, dispatcher);
        long sendBeforeNanos = permitRequest.get().sentNanos() + permit.sendWithinMillis() * NANOS_PER_MILLI;
        long timeoutMillis = request.remainingMillis(now.nanos());
        out.emit(new Action.SendOrder(request.requestId(), permit, sendBeforeNanos, timeoutMillis));
        scheduleHedge(request, permit, now);
    }

    private static void returnPermit(SentOrder order, BackendOutcome outcome, long serviceMicros, Outbox out) {
        Permit permit = order.permit();
        out.send(
                order.dispatcher(),
                new PeerMessage.PermitReturned(
                        permit.service(), permit.range(), permit.orderId(), outcome, serviceMicros));
    }

    private void scheduleHedge(EntryRequest request, Permit permit, Moment now) {
        boolean mayHedge = request.kind().isIdempotent() && !request.service().isExclusive() && !request.isHedged();
        if (mayHedge) {
            hedgeDelays
                    .delayMicros(request.service().name(), request.kind())
                    .ifPresent(delayMicros -> timers.schedule(
                            now.nanos() + delayMicros * NANOS_PER_MICRO,
                            (later, out) -> hedge(request, permit, later, out)));
        }
    }

    private void hedge(EntryRequest request, Permit permit, Moment now, Outbox out) {
        boolean hasOnlyFirstOrder = isOpen(request) && request.hasOrders() && !request.isHedged();
        Optional<RangeAssignment> range = ranges.find(request, now);
        if (hasOnlyFirstOrder && range.isPresent() && retries.mayHedge(request)) {
            requestPermit(request, range.get(), permit.server(), true, now, out);
        }
    }

    private void handlePermitRefused(PeerMessage.PermitRefused refused, Moment now, Outbox out) {
        EntryRequest request = requests.get(PermitRequestId.requestOf(refused.requestId()));
        Optional<PendingPermitRequest> permitRequest =
                request == null ? Optional.empty() : request.closePermitRequest(refused.requestId());
        if (permitRequest.isEmpty() || permitRequest.get().isHedge()) {
            return;
        }
        if (refused.isRetryable()) {
            requestPermitLater(request, PERMIT_RETRY_DELAY_MILLIS, now);
        } else {
            reject(request, CoreErrorCode.ofCode(refused.code()), "rejected by the dispatcher", out);
        }
    }

    private void endOrder(Event.OrderEnded ended, Moment now, Outbox out) {
        SentOrder cancelled = cancelledOrders.remove(ended.orderId());
        if (cancelled != null) {
            returnPermit(cancelled, BackendOutcome.TIMED_OUT, ended.serviceMicros(), out);
            return;
        }
        EntryRequest request = requests.get(ended.requestId());
        Optional<SentOrder> order =
                request == null ? Optional.empty() : request.endOrder(ended.orderId(), ended.outcome());
        if (order.isEmpty()) {
            return;
        }
        returnPermit(order.get(), ended.outcome(), ended.serviceMicros(), out);
        if (ended.outcome() == BackendOutcome.ANSWERED) {
            forward(request, ended, out);
        } else {
            handleFailure(request, order.get(), ended.outcome(), now, out);
        }
    }

    private void forward(EntryRequest request, Event.OrderEnded ended, Outbox out) {
        requests.remove(request.requestId());
        suspects.recordAnswer(request::digest, out);
        hedgeDelays.add(request.service().name(), request.kind(), ended.serviceMicros());
        out.emit(new Action.ForwardAnswer(
                request.requestId(),
                ended.orderId(),
                request.service().name(),
                request.kind().name()));
        cancelAll(request, out);
    }

    private void cancelAll(EntryRequest request, Outbox out) {
        cancelPermitRequests(request, out);
        for (SentOrder order : request.orders()) {
            cancelledOrders.put(order.permit().orderId(), order);
            out.emit(new Action.CancelOrder(request.requestId(), order.permit()));
        }
    }

    private static void cancelPermitRequests(EntryRequest request, Outbox out) {
        for (PendingPermitRequest permitRequest : request.closePermitRequests()) {
            out.send(permitRequest.dispatcher(), new PeerMessage.PermitCancelled(permitRequest.permitRequestId()));
        }
    }

    private void handleFailure(EntryRequest request, SentOrder order, BackendOutcome outcome, Moment now, Outbox out) {
        if (outcome == BackendOutcome.CONNECTION_LOST) {
            suspects.recordCrash(request.digest(), now, out);
        }
        if (request.hasOrders()) {
            return;
        }
        if (retries.mayRetry(request, outcome, now)) {
            cancelPermitRequests(request, out);
            request.exclude(
                    request.service().isExclusive() ? "" : order.permit().server());
            requestPermitLater(request, retries.delayMillis(request), now);
        } else {
            CoreErrorCode code = outcome.isNotRun() ? CoreErrorCode.REFUSED_BY_SERVER : CoreErrorCode.OUTCOME_UNKNOWN;
            reject(request, code, outcome.name(), out);
        }
    }

    private void endAtDeadline(EntryRequest request, Outbox out) {
        if (!isOpen(request) || request.hasOrders()) {
            return;
        }
        if (request.isIdle()) {
            reject(
                    request,
                    CoreErrorCode.NO_OWNER,
                    "no dispatcher or key owner was available before the deadline",
                    out);
        } else {
            reject(request, CoreErrorCode.OVERLOADED, "no slot became free before the deadline", out);
        }
    }

    /** Ends {@code request} with {@code code}, or with an unknown outcome if an earlier order may have run. */
    private void reject(EntryRequest request, CoreErrorCode code, String detail, Outbox out) {
        if (requests.remove(request.requestId()) == null) {
            out.reportInvariantBroken(
                    PROMISE, "request %s can't end: it has already ended".formatted(request.requestId()));
            return;
        }
        cancelPermitRequests(request, out);
        out.emit(new Action.RefuseRequest(
                request.requestId(),
                request.mayHaveRun() ? CoreErrorCode.OUTCOME_UNKNOWN : code,
                detail,
                request.service().name(),
                request.kind().name()));
    }

    /**
     * Cancels the request of a caller that has disconnected. An order that is not idempotent continues, so that its
     * outcome gets known.
     */
    private void abandon(String requestId, Outbox out) {
        EntryRequest request = requests.get(requestId);
        if (request == null) {
            return;
        }
        request.abandon();
        cancelPermitRequests(request, out);
        if (request.kind().isIdempotent() || !request.hasOrders()) {
            requests.remove(requestId);
            cancelAll(request, out);
        }
    }

    private void retryPermitRequestsTo(String dispatcher, Moment now) {
        for (EntryRequest request : List.copyOf(requests.values())) {
            if (request.closePermitRequestsTo(dispatcher) && request.isIdle()) {
                requestPermitLater(request, PERMIT_RETRY_DELAY_MILLIS, now);
            }
        }
    }

    /** Reports the orders in flight to the new dispatchers of their ranges. */
    private void applyMap(Moment now, Outbox out) {
        InFlightReports reports = new InFlightReports(ranges);
        for (EntryRequest request : requests.values()) {
            reports.collect(request, now);
        }
        reports.send(out);
    }

    /** Returns the number of requests in progress. */
    public int runningCount() {
        return requests.size();
    }
}
