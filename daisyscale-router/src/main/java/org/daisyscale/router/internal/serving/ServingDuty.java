package org.daisyscale.router.internal.serving;

import java.time.Duration;
import java.util.function.Consumer;
import org.daisyscale.core.keys.KeyLoad;
import org.daisyscale.core.serving.AttemptOutcome;
import org.daisyscale.core.serving.RequestRouter;
import org.daisyscale.core.serving.ServingAction;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.internal.ring.Ring;

/** The one duty that owns the decisions of the request path. One step is for one thread. */
final class ServingDuty {
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(1);

    private final RequestRouter router;
    private final Ring<ServingEvent> events;
    private final Exchanges exchanges;
    private final AttemptCalls attempts;
    private final Consumer<KeyLoad> keyLoads;
    private final ServingMetrics metrics;

    ServingDuty(
            RequestRouter router,
            Ring<ServingEvent> events,
            Exchanges exchanges,
            AttemptCalls attempts,
            Consumer<KeyLoad> keyLoads,
            ServingMetrics metrics) {
        this.router = router;
        this.events = events;
        this.exchanges = exchanges;
        this.attempts = attempts;
        this.keyLoads = keyLoads;
        this.metrics = metrics;
    }

    /** Waits for an event or for due time, and decides. */
    void runStep() throws InterruptedException {
        long dueNanos = router.nextDueNanos();
        long waitNanos = dueNanos == Long.MAX_VALUE ? LONGEST_WAIT.toNanos() : dueNanos - System.nanoTime();
        Duration wait = Duration.ofNanos(Math.max(0, Math.min(waitNanos, LONGEST_WAIT.toNanos())));
        ServingEvent event = events.poll(wait).orElseGet(ServingEvent.TimePassed::new);
        if (event instanceof ServingEvent.TableChanged changed) {
            exchanges.limit(changed.table().limits());
        } else if (event instanceof ServingEvent.AttemptEnded ended) {
            noteAttempt(ended);
        }
        router.handle(event, System.nanoTime()).forEach(this::run);
        if (event instanceof ServingEvent.CallerLeft left) {
            exchanges.takeLeft(left.requestId());
        }
    }

    private void noteAttempt(ServingEvent.AttemptEnded ended) {
        metrics.attemptEnded(ended.outcome().name());
        Exchange exchange = exchanges.find(ended.requestId());
        if (exchange != null && ended.outcome() != AttemptOutcome.ANSWERED) {
            EventLog.info(
                    "attempt-failed",
                    "requestId=%s attempt=%d server=%s outcome=%s ageMillis=%d"
                            .formatted(
                                    exchange.head().logId(),
                                    ended.attempt(),
                                    exchange.serverId(),
                                    ended.outcome(),
                                    exchange.ageMillis()));
        }
    }

    private void run(ServingAction action) {
        if (action instanceof ServingAction.SendAttempt send) {
            Exchange exchange = exchanges.find(send.requestId());
            if (exchange != null) {
                attempts.send(exchange, send);
            }
        } else if (action instanceof ServingAction.CancelAttempt cancel) {
            cancel(cancel);
        } else if (action instanceof ServingAction.Deliver deliver) {
            deliver(deliver.requestId());
        } else if (action instanceof ServingAction.Reject refuse) {
            refuse(refuse);
        } else if (action instanceof ServingAction.ReportKeyLoad report) {
            keyLoads.accept(report.load());
        } else if (action instanceof ServingAction.Report report) {
            EventLog.info(report.event(), report.detail());
        }
    }

    private void cancel(ServingAction.CancelAttempt cancel) {
        Exchange exchange = exchanges.find(cancel.requestId());
        Exchange left = exchange == null ? exchanges.takeLeft(cancel.requestId()) : exchange;
        if (left != null) {
            attempts.cancel(left);
        }
    }

    private void deliver(long requestId) {
        Exchange exchange = exchanges.remove(requestId);
        if (exchange != null && exchange.end(new Exchange.Outcome.Answered(exchange.reply()))) {
            metrics.ended("answered", exchange.ageMillis());
            if (exchange.reply().status() >= HttpStatusCodes.FIRST_FAILURE) {
                logEnd(exchange, "status=" + exchange.reply().status());
            }
        }
    }

    private void refuse(ServingAction.Reject refusal) {
        Exchange exchange = exchanges.remove(refusal.requestId());
        if (exchange != null && exchange.end(new Exchange.Outcome.Refused(refusal))) {
            metrics.ended(refusal.reason().code(), exchange.ageMillis());
            logEnd(
                    exchange,
                    "code=%s retryAfterMillis=%d %s"
                            .formatted(refusal.reason().code(), refusal.retryAfterMillis(), refusal.detail()));
        }
    }

    private static void logEnd(Exchange exchange, String how) {
        EventLog.info(
                "request-failed",
                "requestId=%s path=%s key=%d server=%s ageMillis=%d %s"
                        .formatted(
                                exchange.head().logId(),
                                exchange.head().path(),
                                exchange.head().key(),
                                exchange.serverId(),
                                exchange.ageMillis(),
                                how));
    }
}
