package org.daisyscale.core.proof;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.daisyscale.core.Action;
import org.daisyscale.core.CoreSettings;
import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;
import org.daisyscale.core.RouterCore;
import org.daisyscale.core.document.Configuration;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.request.RequestMeta;

/**
 * A simulated router: a real core with a clock of its own, whose process can be frozen, stopped and killed. Not
 * thread-safe; confined to the thread of the run.
 */
final class SimRouter {
    private final World world;
    private final RouterCore core;
    private final CoreSettings settings;
    private final DriftingClock clock;
    private final ActionExecutor actionExecutor;
    private final List<Event> heldEvents = new ArrayList<>();
    private final Map<String, Submission> openSubmissions = new TreeMap<>();
    private final Map<String, RequestMeta> metaByRequestId = new HashMap<>();
    private final List<RecordedStep> recordedSteps = new ArrayList<>();
    private final long startedMillis;
    private boolean isLive = true;
    private boolean isFrozen;
    private long stopRequestedMillis = Long.MAX_VALUE;
    private long lastDisturbedMillis;
    private long nextWakeNanos = Long.MAX_VALUE;
    private long requestCount;
    private Configuration configuration;

    SimRouter(World world, CoreSettings settings, DriftingClock clock) {
        this.world = world;
        this.settings = settings;
        this.core = world.newCore(settings);
        this.clock = clock;
        this.startedMillis = world.scheduler().nowMillis();
        this.lastDisturbedMillis = startedMillis;
        this.actionExecutor = new ActionExecutor(world, this);
        deliver(new Event.TimePassed());
        actionExecutor.start();
    }

    String id() {
        return settings.routerId();
    }

    String dataCentre() {
        return settings.dataCentre();
    }

    boolean isLive() {
        return isLive;
    }

    boolean isRunning() {
        return isLive && !isFrozen;
    }

    boolean acceptsRequests(long nowMillis) {
        return isLive && nowMillis - 1_000 < stopRequestedMillis;
    }

    Configuration configuration() {
        return configuration;
    }

    Moment moment() {
        return clock.moment(world.scheduler().nowNanos());
    }

    RequestMeta meta(String requestId) {
        return metaByRequestId.get(requestId);
    }

    List<RecordedStep> recordedSteps() {
        return recordedSteps;
    }

    CoreSettings settings() {
        return settings;
    }

    /** Returns whether the router runs and no fault or stop has affected it since {@code sinceMillis} of true time. */
    boolean isUndisturbedSince(long sinceMillis) {
        return isRunning() && lastDisturbedMillis < sinceMillis && stopRequestedMillis == Long.MAX_VALUE;
    }

    void recordDisturbance() {
        lastDisturbedMillis = world.scheduler().nowMillis();
    }

    /**
     * Passes an event to the core now, or at the thaw if the router is frozen; drops it if the router is killed first.
     */
    void deliver(Event event) {
        if (isLive && isFrozen) {
            heldEvents.add(event);
        } else if (isLive) {
            handle(event);
        }
    }

    private void handle(Event event) {
        Moment now = moment();
        List<Action> actions = core.handle(event, now);
        if (world.isRecording()) {
            recordedSteps.add(new RecordedStep(now, event, actions));
        }
        actions.forEach(actionExecutor::execute);
        scheduleWake();
    }

    private void scheduleWake() {
        long dueNanos = core.nextDueNanos();
        long atNanos = dueNanos <= moment().nanos() ? world.scheduler().nowNanos() : clock.trueNanos(dueNanos);
        if (isLive && atNanos < nextWakeNanos) {
            nextWakeNanos = atNanos;
            world.scheduler().scheduleAt(atNanos, () -> wake(atNanos));
        }
    }

    private void wake(long atNanos) {
        if (atNanos == nextWakeNanos) {
            nextWakeNanos = Long.MAX_VALUE;
            if (isRunning()) {
                handle(new Event.TimePassed());
            }
        }
    }

    void freeze() {
        isFrozen = true;
        recordDisturbance();
    }

    void thaw() {
        if (isLive && isFrozen) {
            isFrozen = false;
            recordDisturbance();
            List<Event> delayed = List.copyOf(heldEvents);
            heldEvents.clear();
            delayed.forEach(this::deliver);
            deliver(new Event.TimePassed());
        }
    }

    void kill() {
        if (isLive) {
            isLive = false;
            openSubmissions.values().forEach(submission -> submission.listener().onOutcome(null));
            openSubmissions.clear();
            world.handleRouterLoss(this);
        }
    }

    void requestStop() {
        stopRequestedMillis = Math.min(stopRequestedMillis, world.scheduler().nowMillis());
        deliver(new Event.StopRequested());
    }

    void finishStop() {
        if (!openSubmissions.isEmpty()) {
            world.observer().recordViolation(9, "%s stops with %s open".formatted(id(), openSubmissions.keySet()));
        }
        kill();
    }

    void submit(RequestMeta meta, Submission.OutcomeListener listener) {
        requestCount++;
        String requestId = "r" + requestCount;
        openSubmissions.put(requestId, new Submission(id() + "/" + requestId, meta, listener));
        metaByRequestId.put(requestId, meta);
        deliver(new Event.RequestArrived(requestId, meta));
    }

    void disconnectCaller(RequestMeta meta) {
        openSubmissions.entrySet().stream()
                .filter(entry -> entry.getValue().meta() == meta)
                .map(Map.Entry::getKey)
                .findFirst()
                .ifPresent(requestId -> {
                    openSubmissions.remove(requestId);
                    deliver(new Event.CallerGone(requestId));
                });
    }

    void answer(String requestId, Order order) {
        Submission submission = openSubmissions.remove(requestId);
        if (submission != null) {
            world.observer().recordAnswered(submission.id(), order);
            submission.listener().onOutcome("ANSWERED");
        }
    }

    void reject(String requestId, CoreErrorCode code) {
        Submission submission = openSubmissions.remove(requestId);
        if (submission != null) {
            world.observer().recordRejected(submission.id(), code, Submission.reportsNotRun(code));
            submission.listener().onOutcome(code.name());
        }
    }

    void recordInForce(Configuration newest) {
        configuration = newest;
        world.observer().recordInForce(id(), newest.revision());
    }

    long startedMillis() {
        return startedMillis;
    }

    /**
     * An event and the actions that a core returned for it. Immutable.
     *
     * @param now the router's time at the event
     * @param event the event
     * @param actions the core's actions, in order
     */
    record RecordedStep(Moment now, Event event, List<Action> actions) {}
}
