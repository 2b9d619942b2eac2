package org.daisyscale.core.internal.dispatch;

import java.util.List;
import java.util.Optional;
import org.daisyscale.core.Moment;
import org.daisyscale.core.document.RequestKind;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.internal.Outbox;
import org.daisyscale.core.internal.ownership.RangeKey;
import org.daisyscale.core.internal.ownership.ServerClock;
import org.daisyscale.core.internal.ownership.ServerState;
import org.daisyscale.core.membership.VmRecord;
import org.daisyscale.core.ownership.SliceAssignment;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.peer.PeerMessage.LedgerState;
import org.daisyscale.core.request.BackendOutcome;
import org.daisyscale.core.request.Permit;

/**
 * Allocates the slots of one dispatch range's backend servers. Requests queue here, not at the servers: a permit is
 * issued only when a server that may run the request has a free slot, and only while this router has renewal authority.
 * Not thread-safe; confined to the core thread.
 */
final class RangeDispatcher {
    private static final int PROMISE = 1;
    private static final long RETURN_GRACE_MILLIS = 500;

    private final RangeKey key;
    private final long epoch;
    private final DispatchContext context;
    private final IdLedger ledger;
    private final ServiceTimes times = new ServiceTimes();
    private final LoadMeter load = new LoadMeter();
    private final ServerTrackers servers;
    private final RangeReporter reporter;
    private final Placement placement;
    private final ServerChooser chooser;
    private final Admission admission;
    private final PermitFactory permits;
    private final OutstandingPermits outstanding = new OutstandingPermits();
    private final WaitingQueues waiting = new WaitingQueues();
    private long queuedMapVersion;

    RangeDispatcher(
            String routerId,
            RangeKey key,
            long epoch,
            DispatchContext context,
            ServerChooser chooser,
            IdLedger ledger) {
        this.key = key;
        this.epoch = epoch;
        this.context = context;
        this.chooser = chooser;
        this.ledger = ledger;
        this.servers = new ServerTrackers(key, context, times);
        this.reporter = new RangeReporter(key, context, servers, load);
        this.placement = new Placement(key, context, chooser);
        this.admission = new Admission(times);
        this.permits = new PermitFactory(routerId, key, epoch, context);
    }

    long epoch() {
        return epoch;
    }

    IdLedger ledger() {
        return ledger;
    }

    /** Queues a request, or rejects it at once when it can't or mustn't run. Ignores a duplicate message. */
    void requestPermit(String router, PeerMessage.PermitRequest permitRequest, Moment now, Outbox out) {
        Optional<RequestKind> kind = context.configuration().policies().kind(key.service(), permitRequest.kind());
        if (kind.isEmpty()) {
            reject(router, permitRequest, CoreErrorCode.UNKNOWN_KIND, out);
            return;
        }
        long deadlineNanos = now.nanosAfterMillis(permitRequest.remainingMillis());
        WaitingRequest request = new WaitingRequest(router, permitRequest, kind.get(), now.nanos(), deadlineNanos);
        if (outstanding.hasPermitFor(request.id()) || waiting.contains(request.id())) {
            return;
        }
        Optional<CoreErrorCode> rejection = rejection(request, now);
        if (rejection.isPresent()) {
            reject(router, permitRequest, rejection.get(), out);
        } else {
            accept(request, now, out);
        }
    }

    private Optional<CoreErrorCode> rejection(WaitingRequest request, Moment now) {
        if (request.isTracked()) {
            Optional<CoreErrorCode> known =
                    ledger.rejection(request.permitRequest().idempotencyKey(), request.entryRequest());
            if (known.isPresent()) {
                return known;
            }
        }
        boolean isFull = waiting.size() >= context.settings().queueLimit();
        FairQueue queue = waiting.queue(placement.queueOf(request, servers.usable()));
        boolean isInTime = admission.isInTime(request, queue, serversFor(request), now.nanos());
        return isFull || !isInTime ? Optional.of(CoreErrorCode.OVERLOADED) : Optional.empty();
    }

    private List<ServerTracker> serversFor(WaitingRequest request) {
        if (!placement.isExclusive()) {
            return servers.usable();
        }
        return placement.slice(request).flatMap(slice -> servers.find(slice.server())).stream()
                .toList();
    }

    private void accept(WaitingRequest request, Moment now, Outbox out) {
        if (request.isTracked()) {
            ledger.begin(request.permitRequest().idempotencyKey(), request.entryRequest(), now);
        }
        QueueKey queueKey = enqueue(request);
        dispatchQueue(queueKey, now, out);
        boolean isUnservedHedge =
                request.permitRequest().isHedge() && waiting.queue(queueKey).remove(request.id());
        if (isUnservedHedge) {
            rejectWaiting(request, CoreErrorCode.OVERLOADED, out);
        }
    }

    private QueueKey enqueue(WaitingRequest request) {
        QueueKey queueKey = placement.queueOf(request, servers.usable());
        waiting.queue(queueKey).add(request);
        return queueKey;
    }

    private static void reject(String router, PeerMessage.PermitRequest permitRequest, CoreErrorCode code, Outbox out) {
        out.send(router, new PeerMessage.PermitRefused(permitRequest.requestId(), code.code(), false));
    }

    private void rejectWaiting(WaitingRequest request, CoreErrorCode code, Outbox out) {
        recordNotRun(request);
        reject(request.router(), request.permitRequest(), code, out);
    }

    private void recordNotRun(WaitingRequest request) {
        if (request.isTracked()) {
            ledger.recordNotRun(request.permitRequest().idempotencyKey());
        }
    }

    /** Refreshes the servers, expires permits and requests, requeues after a map change, then issues permits. */
    void runHousekeeping(Moment now, Outbox out) {
        servers.refresh(now);
        outstanding
                .removeExpired(now)
                .forEach(outstandingPermit -> end(outstandingPermit, BackendOutcome.TIMED_OUT, 0, now));
        if (queuedMapVersion != context.maps().version()) {
            queuedMapVersion = context.maps().version();
            waiting.removeIf(request -> true).forEach(this::enqueue);
        }
        waiting.removeIf(request -> request.deadlineNanos() <= now.nanos())
                .forEach(late -> rejectWaiting(late, CoreErrorCode.OVERLOADED, out));
        dispatchAll(now, out);
    }

    private void dispatchAll(Moment now, Outbox out) {
        waiting.keys().forEach(queueKey -> dispatchQueue(queueKey, now, out));
    }

    private void dispatchQueue(QueueKey queueKey, Moment now, Outbox out) {
        if (!context.duties().mayDispatch(key, now)) {
            return;
        }
        FairQueue queue = waiting.queue(queueKey);
        boolean isDispatched = true;
        while (isDispatched && !queue.isEmpty() && isUnderLimit(queueKey)) {
            isDispatched = dispatchNext(queueKey, queue, now, out);
        }
    }

    private boolean isUnderLimit(QueueKey queueKey) {
        if (queueKey.limitedKind().isEmpty()) {
            return true;
        }
        int limit = context.configuration()
                .policies()
                .kind(key.service(), queueKey.limitedKind())
                .map(RequestKind::concurrencyLimit)
                .orElse(Integer.MAX_VALUE);
        return outstanding.runningOfKind(queueKey.limitedKind()) < limit;
    }

    private boolean dispatchNext(QueueKey queueKey, FairQueue queue, Moment now, Outbox out) {
        List<ServerTracker> candidates = serversWithFreeSlot(queueKey);
        if (candidates.isEmpty()) {
            return false;
        }
        WaitingRequest request = queue.poll().orElseThrow();
        if (!isWorthSending(request, now)) {
            rejectWaiting(request, CoreErrorCode.OVERLOADED, out);
            return true;
        }
        Optional<ServerTracker> tracker = chooseServer(queueKey, request, candidates, now);
        if (tracker.isEmpty() || !issuePermit(request, tracker.get(), now, out)) {
            queue.putBack(request);
            return false;
        }
        return true;
    }

    /** With nothing in flight no answer could correct a wrong estimate, so a request is then sent regardless. */
    private boolean isWorthSending(WaitingRequest request, Moment now) {
        return outstanding.isEmpty() || admission.isWorthSending(request, now.nanos());
    }

    private List<ServerTracker> serversWithFreeSlot(QueueKey queueKey) {
        return servers.usable().stream()
                .filter(tracker -> !queueKey.isBound() || tracker.server().equals(queueKey.server()))
                .filter(ServerTracker::hasFreeSlot)
                .toList();
    }

    private Optional<ServerTracker> chooseServer(
            QueueKey queueKey, WaitingRequest request, List<ServerTracker> candidates, Moment now) {
        if (placement.isExclusive() || queueKey.isBound()) {
            return candidates.stream().findFirst();
        }
        String excluded = request.permitRequest().excludedServer();
        List<ServerTracker> others = candidates.stream()
                .filter(tracker -> !tracker.server().equals(excluded))
                .toList();
        boolean mustBeAnother =
                request.permitRequest().isHedge() || servers.usable().size() > 1;
        return chooser.choose(request, others.isEmpty() && !mustBeAnother ? candidates : others, servers.usable(), now);
    }

    private boolean issuePermit(WaitingRequest request, ServerTracker tracker, Moment now, Outbox out) {
        Optional<SliceAssignment> slice = placement.isExclusive() ? placement.slice(request) : Optional.empty();
        boolean isOwnerKnown = !placement.isExclusive()
                || slice.filter(owned -> owned.server().equals(tracker.server()))
                        .isPresent();
        Optional<VmRecord> server = servers.usableServer(tracker.server());
        Optional<ServerClock> clock = context.servers().find(tracker.server()).map(ServerState::clock);
        if (!isOwnerKnown || server.isEmpty() || clock.isEmpty()) {
            return false;
        }
        if (!context.duties().mayDispatch(key, now)) {
            out.reportInvariantBroken(
                    PROMISE,
                    "permit for %s withheld: this router lost its authority to dispatch the range".formatted(key));
            return false;
        }
        Permit permit = permits.create(request, server.get(), clock.get(), slice, now);
        recordPermit(request, permit, slice.map(SliceAssignment::startHash).orElse(-1L), tracker, now);
        out.send(
                request.router(),
                new PeerMessage.PermitGranted(request.permitRequest().requestId(), permit));
        return true;
    }

    private void recordPermit(
            WaitingRequest request, Permit permit, long sliceStartHash, ServerTracker tracker, Moment now) {
        long graceMillis = context.timing().permitLifeMillis() + RETURN_GRACE_MILLIS;
        long expiresNanos = new Moment(request.deadlineNanos(), 0).nanosAfterMillis(graceMillis);
        OutstandingPermit outstandingPermit =
                new OutstandingPermit(request, permit, sliceStartHash, now.nanos(), expiresNanos);
        outstanding.add(outstandingPermit);
        tracker.begin(outstandingPermit, now);
    }

    /** Ends the order of a returned permit, then issues permits for the freed slot. */
    void handleReturn(PeerMessage.PermitReturned returned, Moment now, Outbox out) {
        outstanding.remove(returned.orderId()).ifPresent(outstandingPermit -> {
            end(outstandingPermit, returned.outcome(), returned.serviceMicros(), now);
            dispatchAll(now, out);
        });
    }

    private void end(OutstandingPermit outstandingPermit, BackendOutcome outcome, long serviceMicros, Moment now) {
        servers.find(outstandingPermit.permit().server())
                .ifPresent(tracker -> tracker.end(outstandingPermit, outcome, serviceMicros));
        if (outcome == BackendOutcome.ANSWERED) {
            load.add(
                    outstandingPermit.sliceStartHash(),
                    outstandingPermit.permit().keyHash(),
                    serviceMicros);
        }
        if (outcome.isNotRun()) {
            recordNotRun(outstandingPermit.request());
        } else if (outstandingPermit.request().isTracked()) {
            LedgerState state = outcome.isUnknown() ? LedgerState.UNKNOWN : LedgerState.RAN;
            ledger.end(outstandingPermit.request().permitRequest().idempotencyKey(), state, now);
        }
    }

    /** Takes over an order in flight that was sent under an earlier dispatcher's permit. */
    void takeOver(String router, PeerMessage.InFlightOrder order, Moment now) {
        context.configuration().policies().kind(key.service(), order.kind()).ifPresent(kind -> {
            OutstandingPermit outstandingPermit =
                    InheritedOrder.of(router, order, kind, key, now).permit(now);
            outstanding.add(outstandingPermit);
            servers.find(order.server()).ifPresent(tracker -> tracker.begin(outstandingPermit, now));
        });
    }

    /** Removes a waiting request that the entry router cancelled. */
    void cancel(String router, String permitRequestId) {
        String id = WaitingRequest.idOf(router, permitRequestId);
        waiting.removeIf(request -> request.id().equals(id)).forEach(this::recordNotRun);
    }

    /** Removes the waiting requests of a disconnected router, which can't receive a permit any more. */
    void dropRequestsOf(String router) {
        waiting.removeIf(request -> request.router().equals(router)).forEach(this::recordNotRun);
    }

    /** Rejects all waiting requests as retryable; their entry routers request permits from the next dispatcher. */
    void rejectAll(Outbox out) {
        for (WaitingRequest request : waiting.removeIf(any -> true)) {
            recordNotRun(request);
            out.send(
                    request.router(),
                    new PeerMessage.PermitRefused(
                            request.permitRequest().requestId(), CoreErrorCode.NO_OWNER.code(), true));
        }
    }

    /** Returns the number of orders in flight at {@code server}. */
    int runningAt(String server) {
        return servers.find(server).map(ServerTracker::running).orElse(0);
    }

    /** Returns the report on the servers for {@code controller}; empty when nothing is due. */
    Optional<PeerMessage.RangeReport> report(String controller, Moment now) {
        load.decay(now);
        return reporter.report(controller, now);
    }
}
