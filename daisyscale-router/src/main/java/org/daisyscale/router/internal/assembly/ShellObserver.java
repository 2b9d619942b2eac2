package org.daisyscale.router.internal.assembly;

import java.util.List;
import java.util.function.Consumer;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.router.internal.duty.DecisionObserver;
import org.daisyscale.router.internal.front.Rejections;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.internal.metrics.RouterMetrics;
import org.daisyscale.router.internal.request.PendingRequests;
import org.daisyscale.router.internal.trace.TraceEntry;

/**
 * Records decisions in metrics and the trace. Stops the router after {@value #MAX_CONSECUTIVE_FAILURES} consecutive
 * exceptions of the core, because its state can't be trusted then. Not thread-safe; confined to the core thread.
 */
final class ShellObserver implements DecisionObserver {
    static final int MAX_CONSECUTIVE_FAILURES = 10;

    private final RouterMetrics metrics;
    private final PendingRequests pending;
    private final StopSignal stopSignal;
    private final Consumer<TraceEntry> trace;
    private int consecutiveFailures;

    ShellObserver(RouterMetrics metrics, PendingRequests pending, StopSignal stopSignal, Consumer<TraceEntry> trace) {
        this.metrics = metrics;
        this.pending = pending;
        this.stopSignal = stopSignal;
        this.trace = trace;
    }

    @Override
    public void decided(Event event, Moment moment, List<Action> actions, long durationNanos) {
        consecutiveFailures = 0;
        trace.accept(new TraceEntry(event, moment));
        metrics.recordDecision(event.getClass().getSimpleName(), durationNanos);
    }

    @Override
    public void failed(Event event, RuntimeException failure) {
        consecutiveFailures++;
        metrics.recordCoreFailure();
        EventLog.error("core-failed", "event=" + event.getClass().getSimpleName(), failure);
        if (event instanceof Event.RequestArrived request) {
            pending.reply(
                    request.requestId(),
                    Rejections.reply(
                            CoreErrorCode.INVARIANT_BROKEN, "the router failed while it decided on the request"));
        }
        if (consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) {
            stopSignal.fail("the core failed on " + consecutiveFailures + " consecutive events");
        }
    }
}
