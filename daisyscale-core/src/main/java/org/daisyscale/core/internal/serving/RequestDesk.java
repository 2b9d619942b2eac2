package org.daisyscale.core.internal.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.internal.serving.RequestTimers.Purpose;
import org.daisyscale.core.serving.AttemptOutcome;
import org.daisyscale.core.serving.RequestHead;
import org.daisyscale.core.serving.Route;
import org.daisyscale.core.serving.RoutingTable;
import org.daisyscale.core.serving.ServiceRules;
import org.daisyscale.core.serving.ServingAction;
import org.daisyscale.core.serving.ServingEvent;

/**
 * Takes each request from its arrival to its one final answer: places it, repeats it where that does no harm, and ends
 * it when its time is over. A request that may have run is never refused as not run, and one that isn't idempotent is
 * sent again only after servers said that they did not run it. Owned by the thread that owns the core.
 */
final class RequestDesk {
    /** A caller that names no time limit waits this long, in milliseconds; its route's timeout is mostly shorter. */
    private static final long DEFAULT_TIME_LEFT_MILLIS = 10_000;
    /** The final answer leaves this much before the caller's time is over, in milliseconds: the way to the caller. */
    private static final long REPLY_MARGIN_MILLIS = 30;
    /** A router that has just started has a configuration within this, in milliseconds. */
    private static final long START_MILLIS = 500;
    /** The share of its objective that a request may wait for a place. */
    private static final double PATIENCE_PART = 0.5;
    /** Callers give up a request that nobody read after this time, in milliseconds; by the pages. */
    private static final double MAX_UNREAD_MILLIS = 1_000;
    /** And after this part of the time that they have; by the pages. */
    private static final double UNREAD_PART = 1.0 / 3;
    /** Callers that are sent away together come back spread over this, in milliseconds. */
    private static final long RETURN_SPREAD_MILLIS = 150;

    private final FleetView fleet;
    private final UniformRandomProvider random;
    private final Placer pooled;
    private final Placer byOwner;
    private final RepeatBudget repeats;
    private final WeightedSplitter splitter = new WeightedSplitter();
    private final RequestTimers timers = new RequestTimers();
    private final KeyLoadMeter keyLoad;
    private final Map<Long, OpenRequest> openById = new HashMap<>();
    private List<ServingAction> actions = new ArrayList<>();

    RequestDesk(FleetView fleet, UniformRandomProvider random) {
        this.fleet = fleet;
        this.random = random;
        this.pooled = new ShortestWaitPlacer(fleet, random);
        this.byOwner = new OwnerPlacer(fleet);
        this.repeats = new RepeatBudget(fleet.settings());
        this.keyLoad = new KeyLoadMeter(fleet);
    }

    List<ServingAction> drain() {
        List<ServingAction> drained = actions;
        actions = new ArrayList<>();
        return drained;
    }

    long nextDueNanos() {
        return Math.min(timers.nextDueNanos(), keyLoad.nextDueNanos());
    }

    void tableChanged(RoutingTable table) {
        splitter.clear();
        String detail = "version=%d routes=%d openRequests=%d"
                .formatted(table.version(), table.routes().size(), openById.size());
        actions.add(new ServingAction.Report("configuration-in-force", detail));
    }

    void arrived(ServingEvent.RequestArrived arrived, long nowNanos) {
        long requestId = arrived.requestId();
        RequestHead head = arrived.head();
        if (!fleet.hasTable()) {
            refuse(requestId, CoreErrorCode.NOT_READY, "no configuration yet", START_MILLIS);
            return;
        }
        Optional<Route> route = fleet.routes().find(head.host(), head.path());
        if (route.isEmpty()) {
            refuse(requestId, CoreErrorCode.NO_ROUTE, "host=" + head.host() + " path=" + head.path(), 0);
            return;
        }
        long waitedMillis = Math.max(0, (nowNanos - arrived.cameNanos()) / 1_000_000L);
        if (waitedMillis >= unreadMillis(head)) {
            String detail = "the router is behind: decided on %d ms after it came".formatted(waitedMillis);
            refuse(requestId, CoreErrorCode.OVERLOADED, detail, RETURN_SPREAD_MILLIS);
            return;
        }
        open(requestId, head, route.get(), nowNanos);
    }

    private static long callerMillis(RequestHead head) {
        return head.timeLeftMillis() > 0 ? head.timeLeftMillis() : DEFAULT_TIME_LEFT_MILLIS;
    }

    /** After how long callers give up a request that isn't read, in milliseconds. */
    private static double unreadMillis(RequestHead head) {
        return Math.min(MAX_UNREAD_MILLIS, callerMillis(head) * UNREAD_PART);
    }

    private void open(long requestId, RequestHead head, Route route, long nowNanos) {
        long callerMillis = callerMillis(head);
        long millis = Math.min(callerMillis - REPLY_MARGIN_MILLIS, route.timeoutMillis());
        String service = splitter.next(route);
        OpenRequest request =
                new OpenRequest(requestId, head, route, service, nowNanos, nowNanos + millis * 1_000_000L);
        repeats.noteRequest(service, nowNanos);
        openById.put(requestId, request);
        timers.schedule(request.deadlineNanos(), requestId, Purpose.DEADLINE);
        if (isKeyed(request)) {
            keyLoad.note(service, head.key(), nowNanos);
        }
        place(request, nowNanos);
    }

    /** Looks again for a place for all requests of {@code service} that wait, the most urgent first. */
    void placeWaiting(String service, long nowNanos) {
        openById.values().stream()
                .filter(request ->
                        request.current() == null && request.service().equals(service))
                .sorted(Comparator.comparingInt(
                                (OpenRequest request) -> request.route().priority())
                        .thenComparingLong(OpenRequest::deadlineNanos))
                .toList()
                .forEach(request -> place(request, nowNanos));
    }

    private void place(OpenRequest request, long nowNanos) {
        Placement placement = placer(request).place(request, nowNanos);
        if (placement instanceof Placement.Send send) {
            sendOrRefuse(request, send.view(), nowNanos);
        } else if (placement instanceof Placement.Wait wait) {
            waitOrRefuse(request, wait, nowNanos);
        } else if (placement instanceof Placement.Refuse refusal) {
            end(request, refusal);
        }
    }

    private Placer placer(OpenRequest request) {
        return isKeyed(request) ? byOwner : pooled;
    }

    private boolean isKeyed(OpenRequest request) {
        return request.head().key() != RequestHead.NO_KEY
                && fleet.rules(request.service()).map(ServiceRules::isSharded).orElse(false);
    }

    private void sendOrRefuse(OpenRequest request, ServerView view, long nowNanos) {
        Optional<Placement.Refuse> refusal =
                Admission.refusal(request, view, placer(request).objectivePart(), nowNanos);
        if (refusal.isPresent()) {
            end(request, refusal.get());
            return;
        }
        if (view.coldGate().isCold(nowNanos)) {
            reportColdSend(request, view, nowNanos);
        }
        request.sendTo(view, nowNanos);
        actions.add(new ServingAction.SendAttempt(
                request.requestId(), request.attemptCount(), view.server(), request.timeLeftMillis(nowNanos)));
    }

    private void reportColdSend(OpenRequest request, ServerView view, long nowNanos) {
        String detail = "requestId=%s server=%s address=%s:%d sentBefore=%d share=%d routers=%d coldLeftMillis=%d"
                .formatted(
                        request.head().logId(),
                        view.server().id(),
                        view.server().host(),
                        view.server().port(),
                        view.coldGate().sentCount(nowNanos),
                        fleet.coldShare(view, nowNanos),
                        fleet.routerCount(nowNanos),
                        view.coldGate().coldLeftMillis(nowNanos));
        actions.add(new ServingAction.Report("cold-server-request", detail));
    }

    private void waitOrRefuse(OpenRequest request, Placement.Wait wait, long nowNanos) {
        long againMillis = Math.max(1, (wait.againNanos() - nowNanos) / 1_000_000L);
        double patienceMillis = request.route().targetLatencyMillis() * PATIENCE_PART;
        if (request.ageMillis(nowNanos) + againMillis > patienceMillis) {
            end(request, new Placement.Refuse(wait.reason(), "no end of the wait", wait.retryAfterMillis()));
        } else {
            timers.schedule(nowNanos + againMillis * 1_000_000L, request.requestId(), Purpose.PLACE);
        }
    }

    void attemptEnded(ServingEvent.AttemptEnded ended, long nowNanos) {
        OpenRequest request = openById.get(ended.requestId());
        if (request == null || request.attemptCount() != ended.attempt() || request.current() == null) {
            return;
        }
        AttemptOutcome outcome = ended.outcome();
        String serverId = request.current().server().id();
        request.current().noteEnded(request.requestId(), outcome, ended.load().orElse(null), nowNanos);
        if (outcome == AttemptOutcome.REFUSED_NOT_OWNER) {
            request.disowned(nowNanos);
        }
        request.attemptOver(outcome.mayHaveRun(), outcome.reachedServer());
        if (outcome == AttemptOutcome.ANSWERED) {
            deliver(request);
        } else if (mayRepeat(request, outcome, nowNanos)) {
            place(request, nowNanos);
        } else {
            endAfter(request, outcome, serverId);
        }
    }

    private boolean mayRepeat(OpenRequest request, AttemptOutcome outcome, long nowNanos) {
        if (request.mayHaveRun() && !request.route().isIdempotent()) {
            return false;
        }
        if (!outcome.reachedServer()) {
            return true;
        }
        if (isKeyed(request) && outcome == AttemptOutcome.REFUSED_FULL) {
            return false;
        }
        return request.triedCount() < request.route().maxBackends()
                && repeats.spend(request.service(), fleet.ownPart(nowNanos), nowNanos);
    }

    private void endAfter(OpenRequest request, AttemptOutcome outcome, String serverId) {
        if (outcome == AttemptOutcome.FAILED) {
            deliver(request);
            return;
        }
        String detail = "server=" + serverId + " outcome=" + outcome + " attempts=" + request.attemptCount();
        end(request, new Placement.Refuse(CoreErrorCode.REFUSED_BY_SERVER, detail, RETURN_SPREAD_MILLIS));
    }

    private void deliver(OpenRequest request) {
        openById.remove(request.requestId());
        actions.add(new ServingAction.Deliver(request.requestId(), request.attemptCount()));
    }

    /** Ends a request; one that may have run is never called not run. */
    private void end(OpenRequest request, Placement.Refuse refusal) {
        openById.remove(request.requestId());
        if (request.mayHaveRun()) {
            refuse(request.requestId(), CoreErrorCode.OUTCOME_UNKNOWN, refusal.detail(), 0);
        } else {
            refuse(request.requestId(), refusal.reason(), refusal.detail(), refusal.retryAfterMillis());
        }
    }

    private void refuse(long requestId, CoreErrorCode reason, String detail, long retryAfterMillis) {
        long advice = retryAfterMillis == 0 ? 0 : retryAfterMillis + random.nextLong(RETURN_SPREAD_MILLIS);
        actions.add(new ServingAction.Refuse(requestId, reason, detail, advice));
    }

    void callerLeft(long requestId) {
        OpenRequest request = openById.remove(requestId);
        if (request != null && request.current() != null) {
            request.current().noteCancelled(requestId);
            if (request.route().isIdempotent()) {
                actions.add(new ServingAction.CancelAttempt(requestId, request.attemptCount()));
            }
        }
    }

    /** Does what is due. */
    void runDue(long nowNanos) {
        Optional<RequestTimers.Timer> due = timers.pollDue(nowNanos);
        while (due.isPresent()) {
            OpenRequest request = openById.get(due.get().requestId());
            if (request != null) {
                runTimer(request, due.get().purpose(), nowNanos);
            }
            due = timers.pollDue(nowNanos);
        }
        keyLoad.takeDue(nowNanos).forEach(load -> actions.add(new ServingAction.ReportKeyLoad(load)));
    }

    private void runTimer(OpenRequest request, Purpose purpose, long nowNanos) {
        if (purpose == Purpose.DEADLINE) {
            timeOut(request);
        } else if (request.current() == null) {
            place(request, nowNanos);
        }
    }

    private void timeOut(OpenRequest request) {
        openById.remove(request.requestId());
        if (request.current() != null) {
            String serverId = request.current().server().id();
            request.current().noteCancelled(request.requestId());
            actions.add(new ServingAction.CancelAttempt(request.requestId(), request.attemptCount()));
            refuse(request.requestId(), CoreErrorCode.TIMED_OUT, "server=" + serverId, 0);
        } else if (request.mayHaveRun()) {
            refuse(request.requestId(), CoreErrorCode.TIMED_OUT, "while waiting for a repeat", 0);
        } else {
            refuse(request.requestId(), CoreErrorCode.OVERLOADED, "no place in time", RETURN_SPREAD_MILLIS);
        }
    }
}
