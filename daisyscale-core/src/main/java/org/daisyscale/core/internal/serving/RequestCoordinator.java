package org.daisyscale.core.internal.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.LongStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.internal.serving.RequestTimers.Purpose;
import org.daisyscale.core.quota.QuotaGrant;
import org.daisyscale.core.serving.AttemptOutcome;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.FleetNews;
import org.daisyscale.core.serving.LossRecord;
import org.daisyscale.core.serving.RequestHead;
import org.daisyscale.core.serving.Route;
import org.daisyscale.core.serving.RoutingTable;
import org.daisyscale.core.serving.ServingAction;
import org.daisyscale.core.serving.ServingEvent;

/**
 * Coordinates each request from its arrival to its single final answer: places it on a server, retries it where that is
 * safe, and ends it at its deadline.
 *
 * <p>Invariants: a request that may have run is never rejected as not run, and a request that isn't idempotent is
 * retried only if no server may have run it.
 *
 * <p>Not thread-safe; confined to the core thread.
 */
final class RequestCoordinator {
    /** Margin between the final answer and the caller's timeout, in milliseconds; covers the way to the caller. */
    private static final long REPLY_MARGIN_MILLIS = 30;
    /** Maximum wait for a server, as a fraction of the latency objective. */
    private static final double MAX_WAIT_FRACTION = 0.5;

    private final FleetView fleet;
    private final RetryAfterJitter retryAfterJitter;
    private final ShortestWaitPlacer pooledPlacer;
    private final Placer ownerPlacer;
    private final RetryBudget retryBudget;
    private final RetryPolicy retryPolicy;
    private final WeightedSplitter splitter = new WeightedSplitter();
    private final RequestTimers timers = new RequestTimers();
    private final HealthChecks healthChecks;
    private final Admission admission;
    private final LostRequests lostRequests;
    private final ArrivalChecks arrivalChecks;
    private final KeyLoadRecorder keyLoadRecorder;
    private final AllowanceGate allowances;
    private final Map<Long, OpenRequest> openById = new HashMap<>();
    private List<ServingAction> actions = new ArrayList<>();

    RequestCoordinator(FleetView fleet, UniformRandomProvider random) {
        this.fleet = fleet;
        this.retryAfterJitter = new RetryAfterJitter(random);
        this.pooledPlacer = new ShortestWaitPlacer(fleet, random);
        this.ownerPlacer = new OwnerPlacer(fleet);
        this.admission = new Admission(fleet);
        this.healthChecks = new HealthChecks(fleet);
        this.retryBudget = new RetryBudget(fleet.settings());
        this.lostRequests = new LostRequests(fleet);
        this.arrivalChecks = new ArrivalChecks(fleet, lostRequests, retryAfterJitter);
        this.retryPolicy = new RetryPolicy(fleet, retryBudget, lostRequests);
        this.keyLoadRecorder = new KeyLoadRecorder(fleet);
        this.allowances = new AllowanceGate(fleet);
    }

    List<ServingAction> drainActions() {
        List<ServingAction> drained = actions;
        actions = new ArrayList<>();
        return drained;
    }

    long nextDueNanos() {
        return LongStream.of(
                        allowances.nextDueNanos(),
                        timers.nextDueNanos(),
                        keyLoadRecorder.nextDueNanos(),
                        lostRequests.nextDueNanos())
                .min()
                .getAsLong();
    }

    /** Handles what another router saw. */
    void handleNews(FleetNews news, long nowNanos) {
        lostRequests.handle(news, nowNanos);
        healthChecks.handle(news, nowNanos);
        fleet.notices().handle(news, nowNanos);
    }

    /** Handles what the store has about a request that was lost with servers. */
    void handleLosses(LossRecord stored, long nowNanos) {
        lostRequests.handle(stored, nowNanos);
    }

    void handleHealth(ServingEvent.HealthReported reported, long nowNanos) {
        actions.addAll(healthChecks.handleReport(reported.server(), reported.report(), nowNanos));
    }

    /** Handles credits for requests of organisations; the requests that waited for them are placed again. */
    void handleGrant(QuotaGrant grant, long nowNanos) {
        allowances
                .handle(grant, nowNanos)
                .forEach(requestId ->
                        Optional.ofNullable(openById.get(requestId)).ifPresent(request -> place(request, nowNanos)));
        allowances.requestMissing(grant, nowNanos);
    }

    void handleSuspension(long nowNanos) {
        actions.add(allowances.handleSuspension(nowNanos));
    }

    void handleTableChanged(RoutingTable table, long nowNanos) {
        splitter.clear();
        allowances.handleOrganisations(table.organisations(), nowNanos);
        String detail = "version=%d routes=%d openRequests=%d"
                .formatted(table.version(), table.routes().size(), openById.size());
        actions.add(new ServingAction.Report("configuration-in-force", detail));
    }

    /** Reports that {@code dataCentres} are the evacuated ones from now on. */
    void handleEvacuations(Set<String> dataCentres, long nowNanos) {
        actions.add(EvacuationReports.create(dataCentres, openById.values(), fleet, nowNanos));
    }

    void handleArrival(ServingEvent.RequestArrived arrived, long nowNanos) {
        ArrivalCheck check = arrivalChecks.check(arrived, nowNanos);
        if (check instanceof ArrivalCheck.Accepted accepted) {
            open(arrived, accepted.route(), accepted.caller(), nowNanos);
        } else if (check instanceof ArrivalCheck.Rejected rejected) {
            actions.add(rejected.rejection());
        }
    }

    private void open(ServingEvent.RequestArrived arrived, Route route, Caller caller, long nowNanos) {
        long requestId = arrived.requestId();
        RequestHead head = arrived.head();
        long callerTimeoutMillis = CallerTimeouts.timeoutMillis(head);
        long timeoutMillis = Math.min(callerTimeoutMillis - REPLY_MARGIN_MILLIS, route.timeoutMillis());
        String service = splitter.next(route);
        OpenRequest request = new OpenRequest(
                requestId,
                head,
                arrived.fingerprint(),
                route,
                caller,
                service,
                arrived.arrivedNanos(),
                arrived.arrivedNanos() + timeoutMillis * 1_000_000L);
        retryBudget.recordRequest(service, nowNanos);
        openById.put(requestId, request);
        timers.schedule(request.deadlineNanos(), requestId, Purpose.DEADLINE);
        if (isKeyed(request)) {
            keyLoadRecorder.recordKey(service, head.key(), nowNanos);
        }
        place(request, nowNanos);
    }

    /** Places all pending requests of {@code service} again, by priority and then by deadline. */
    void placePending(String service, long nowNanos) {
        openById.values().stream()
                .filter(request ->
                        request.currentServer() == null && request.service().equals(service))
                .sorted(Comparator.comparingInt(OpenRequest::priority).thenComparingLong(OpenRequest::deadlineNanos))
                .toList()
                .forEach(request -> place(request, nowNanos));
    }

    private void place(OpenRequest request, long nowNanos) {
        Placement placement = placer(request).place(request, nowNanos);
        if (placement instanceof Placement.Send send) {
            sendOrReject(request, send.view(), nowNanos);
        } else if (placement instanceof Placement.Wait wait) {
            waitOrReject(request, wait, nowNanos);
        } else if (placement instanceof Placement.Reject rejection) {
            rejectOpen(request, rejection);
        }
    }

    private Placer placer(OpenRequest request) {
        return isKeyed(request) ? ownerPlacer : pooledPlacer;
    }

    private boolean isKeyed(OpenRequest request) {
        return request.head().key() != RequestHead.NO_KEY && fleet.isSharded(request.service());
    }

    private void sendOrReject(OpenRequest request, ServerView view, long nowNanos) {
        Optional<Placement.Reject> rejection =
                admission.rejection(request, view, placer(request).objectiveFraction(), nowNanos);
        if (rejection.isPresent()) {
            rejectOpen(request, rejection.get());
            return;
        }
        Optional<Placement> refusal = allowances.admit(request, nowNanos);
        if (refusal.isPresent()) {
            postponeOrReject(request, refusal.get());
            return;
        }
        if (view.coldStartLimiter().isCold(nowNanos)) {
            actions.add(ColdStartReports.create(request, view, fleet, nowNanos));
        }
        request.startAttempt(view, nowNanos);
        lostRequests.recordSent(request.fingerprint(), nowNanos);
        actions.add(new ServingAction.SendAttempt(
                request.requestId(),
                request.attemptCount(),
                view.server(),
                request.timeLeftMillis(nowNanos),
                request.caller()));
        healthChecks.onSent(view, nowNanos).ifPresent(actions::add);
    }

    private void waitOrReject(OpenRequest request, Placement.Wait wait, long nowNanos) {
        long retryMillis = Math.max(1, (wait.retryNanos() - nowNanos) / 1_000_000L);
        double maxWaitMillis = request.route().targetLatencyMillis() * MAX_WAIT_FRACTION;
        if (request.ageMillis(nowNanos) + retryMillis > maxWaitMillis) {
            String detail = "the expected wait is too long for the latency objective";
            rejectOpen(request, new Placement.Reject(wait.reason(), detail, wait.retryAfterMillis()));
        } else {
            timers.schedule(nowNanos + retryMillis * 1_000_000L, request.requestId(), Purpose.PLACE);
        }
    }

    private void postponeOrReject(OpenRequest request, Placement refusal) {
        if (refusal instanceof Placement.Wait wait) {
            timers.schedule(wait.retryNanos(), request.requestId(), Purpose.PLACE);
        } else if (refusal instanceof Placement.Reject rejection) {
            rejectOpen(request, rejection);
        }
    }

    void handleAttemptEnded(ServingEvent.AttemptEnded ended, long nowNanos) {
        OpenRequest request = openById.get(ended.requestId());
        if (request == null || request.attemptCount() != ended.attempt() || request.currentServer() == null) {
            return;
        }
        AttemptOutcome outcome = ended.outcome();
        BackendServer server = request.currentServer().server();
        request.currentServer()
                .recordEnded(request.requestId(), outcome, ended.load().orElse(null), nowNanos);
        actions.addAll(fleet.notices().handle(server, ended.notice(), nowNanos));
        if (outcome == AttemptOutcome.REFUSED_NOT_OWNER) {
            request.recordNotOwner(nowNanos);
        }
        request.endAttempt(outcome.mayHaveRun(), outcome.reachedServer());
        allowances.recordEnd(request, outcome, nowNanos);
        actions.addAll(lostRequests.recordEnd(request, server, outcome, nowNanos));
        if (outcome == AttemptOutcome.ANSWERED) {
            pooledPlacer.recordResponse(request.route(), ended.responseBytes());
            deliver(request);
        } else if (allowances.mayRepeat(request, nowNanos)
                && retryPolicy.mayRetry(request, ended, isKeyed(request), nowNanos)) {
            place(request, nowNanos);
        } else {
            endAfterFailure(request, ended, server.id());
        }
    }

    private void endAfterFailure(OpenRequest request, ServingEvent.AttemptEnded ended, String serverId) {
        if (ended.outcome() == AttemptOutcome.FAILED) {
            deliver(request);
            return;
        }
        rejectOpen(request, FailedAttempts.rejection(request, ended, serverId, isKeyed(request)));
    }

    private void deliver(OpenRequest request) {
        close(request);
        allowances.recordServed(request);
        actions.add(new ServingAction.Deliver(request.requestId(), request.attemptCount()));
    }

    private void close(OpenRequest request) {
        openById.remove(request.requestId());
        allowances.forget(request);
    }

    /** Rejects an open request; the outcome of one that may have run is reported as unknown. */
    private void rejectOpen(OpenRequest request, Placement.Reject rejection) {
        close(request);
        if (request.mayHaveRun()) {
            reject(request.requestId(), CoreErrorCode.OUTCOME_UNKNOWN, rejection.detail(), 0);
        } else {
            reject(request.requestId(), rejection);
        }
    }

    private void reject(long requestId, Placement.Reject rejection) {
        if (rejection.isScheduled()) {
            actions.add(rejection.forRequest(requestId));
        } else {
            reject(requestId, rejection.reason(), rejection.detail(), rejection.retryAfterMillis());
        }
    }

    private void reject(long requestId, CoreErrorCode reason, String detail, long retryAfterMillis) {
        actions.add(new ServingAction.Reject(requestId, reason, detail, retryAfterJitter.add(retryAfterMillis)));
    }

    void handleCallerLeft(long requestId) {
        OpenRequest request = openById.get(requestId);
        if (request != null) {
            close(request);
            cancelAttempt(request);
        }
    }

    /** Cancels the attempt in flight, if any; one that must not be repeated may still come to its end. */
    private void cancelAttempt(OpenRequest request) {
        if (request.currentServer() != null) {
            request.currentServer().recordCancelled(request.requestId());
            if (request.route().isIdempotent()) {
                actions.add(new ServingAction.CancelAttempt(request.requestId(), request.attemptCount()));
            }
        }
    }

    /** Ends all requests because the process ends. */
    void endAll() {
        for (OpenRequest request : List.copyOf(openById.values())) {
            close(request);
            cancelAttempt(request);
            reject(request.requestId(), UnfinishedRequests.atStop(request));
        }
    }

    /** Runs the timers that are due and reports the key load if a report is due. */
    void runDueTimers(long nowNanos) {
        Optional<RequestTimers.Timer> due = timers.pollDue(nowNanos);
        while (due.isPresent()) {
            OpenRequest request = openById.get(due.get().requestId());
            if (request != null) {
                runTimer(request, due.get().purpose(), nowNanos);
            }
            due = timers.pollDue(nowNanos);
        }
        keyLoadRecorder.takeDue(nowNanos).forEach(load -> actions.add(new ServingAction.ReportKeyLoad(load)));
        actions.addAll(allowances.takeDue(nowNanos));
        actions.addAll(lostRequests.takeDue(nowNanos));
    }

    private void runTimer(OpenRequest request, Purpose purpose, long nowNanos) {
        if (purpose == Purpose.DEADLINE) {
            timeOut(request);
        } else if (request.currentServer() == null) {
            place(request, nowNanos);
        }
    }

    private void timeOut(OpenRequest request) {
        close(request);
        if (request.currentServer() != null) {
            request.currentServer().recordCancelled(request.requestId());
            actions.add(new ServingAction.CancelAttempt(request.requestId(), request.attemptCount()));
        }
        reject(request.requestId(), UnfinishedRequests.atDeadline(request));
    }
}
