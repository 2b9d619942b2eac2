package org.daisyscale.router.internal.serving;

import java.time.Duration;
import java.util.function.Consumer;
import org.daisyscale.core.keys.KeyLoad;
import org.daisyscale.core.quota.QuotaReport;
import org.daisyscale.core.serving.AttemptOutcome;
import org.daisyscale.core.serving.FleetNews;
import org.daisyscale.core.serving.LossRecord;
import org.daisyscale.core.serving.RequestRouter;
import org.daisyscale.core.serving.ServingAction;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.log.EventReporter;
import org.daisyscale.router.internal.ring.Ring;

/** Owns the decisions of the request path and runs the resulting actions. Not thread-safe; confined to one thread. */
final class ServingDuty {
    private static final Duration MAX_WAIT = Duration.ofSeconds(1);

    private final RequestRouter router;
    private final Ring<ServingEvent> events;
    private final ExchangeRegistry exchanges;
    private final AttemptSender attempts;
    private final HealthCheckSender healthChecks;
    private final Consumer<KeyLoad> keyLoads;
    private final Consumer<FleetNews> news;
    private final Consumer<LossRecord> losses;
    private final Consumer<QuotaReport> quotaReports;
    private final EventReporter log;
    private final ServingMetrics metrics;
    private final SuspensionDetector suspensions = new SuspensionDetector();

    ServingDuty(
            RequestRouter router,
            Ring<ServingEvent> events,
            ExchangeRegistry exchanges,
            AttemptSender attempts,
            HealthCheckSender healthChecks,
            Consumer<KeyLoad> keyLoads,
            Consumer<FleetNews> news,
            Consumer<LossRecord> losses,
            Consumer<QuotaReport> quotaReports,
            EventReporter log,
            ServingMetrics metrics) {
        this.router = router;
        this.events = events;
        this.exchanges = exchanges;
        this.attempts = attempts;
        this.healthChecks = healthChecks;
        this.keyLoads = keyLoads;
        this.news = news;
        this.losses = losses;
        this.quotaReports = quotaReports;
        this.log = log;
        this.metrics = metrics;
    }

    /** Waits for an event or the next due time, and runs the resulting actions. */
    void runStep() throws InterruptedException {
        long dueNanos = router.nextDueNanos();
        long waitNanos = dueNanos == Long.MAX_VALUE ? MAX_WAIT.toNanos() : dueNanos - System.nanoTime();
        Duration wait = Duration.ofNanos(Math.max(0, Math.min(waitNanos, MAX_WAIT.toNanos())));
        ServingEvent event = events.poll(wait).orElseGet(ServingEvent.TimePassed::new);
        if (event instanceof ServingEvent.TableChanged changed) {
            exchanges.setLimits(changed.table().limits());
            metrics.configurationInForce(changed.table().version());
        } else if (event instanceof ServingEvent.AttemptEnded ended) {
            recordAttempt(ended);
        }
        if (suspensions.wasSuspended()) {
            router.handle(new ServingEvent.Suspended(), System.nanoTime()).forEach(this::run);
        }
        router.handle(event, System.nanoTime()).forEach(this::run);
        StartStep.of(event).ifPresent(metrics.startTimes()::mark);
        if (event instanceof ServingEvent.CallerLeft left) {
            exchanges.removeAbandoned(left.requestId());
        }
    }

    private void recordAttempt(ServingEvent.AttemptEnded ended) {
        metrics.attemptEnded(ended.outcome().name());
        Exchange exchange = exchanges.find(ended.requestId());
        if (exchange != null && ended.outcome() != AttemptOutcome.ANSWERED) {
            log.report(
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
                metrics.startTimes().mark(StartStep.FIRST_ATTEMPT);
                attempts.send(exchange, send);
            }
        } else if (action instanceof ServingAction.CancelAttempt cancel) {
            cancel(cancel);
        } else if (action instanceof ServingAction.CheckHealth check) {
            healthChecks.send(check);
        } else if (action instanceof ServingAction.Deliver deliver) {
            deliver(deliver.requestId());
        } else if (action instanceof ServingAction.Reject rejection) {
            reject(rejection);
        } else if (action instanceof ServingAction.Report report) {
            log.report(report.event(), report.detail());
        } else {
            tellOthers(action);
        }
    }

    private void tellOthers(ServingAction action) {
        if (action instanceof ServingAction.ReportKeyLoad report) {
            keyLoads.accept(report.load());
        } else if (action instanceof ServingAction.ShareNews share) {
            news.accept(share.news());
        } else if (action instanceof ServingAction.StoreLosses stored) {
            losses.accept(stored.losses());
        } else if (action instanceof ServingAction.ReportQuota report) {
            quotaReports.accept(report.report());
        } else if (action instanceof ServingAction.PublishCounts publish) {
            metrics.organisations().publish(publish.counts());
        }
    }

    private void cancel(ServingAction.CancelAttempt cancel) {
        Exchange exchange = exchanges.find(cancel.requestId());
        Exchange target = exchange == null ? exchanges.removeAbandoned(cancel.requestId()) : exchange;
        if (target != null) {
            attempts.cancel(target);
        }
    }

    private void deliver(long requestId) {
        Exchange exchange = exchanges.remove(requestId);
        if (exchange != null && exchange.end(new Exchange.Outcome.Answered(exchange.reply()))) {
            metrics.requestEnded("answered", exchange.ageMillis());
            if (exchange.reply().status() >= HttpStatusCodes.FIRST_ERROR) {
                logEnd(exchange, "status=" + exchange.reply().status());
            }
        }
    }

    private void reject(ServingAction.Reject rejection) {
        Exchange exchange = exchanges.remove(rejection.requestId());
        if (exchange != null && exchange.end(new Exchange.Outcome.Rejected(rejection))) {
            metrics.requestEnded(rejection.reason().code(), exchange.ageMillis());
            String result = "code=%s retryAfterMillis=%d %s %s"
                    .formatted(
                            rejection.reason().code(),
                            rejection.retryAfterMillis(),
                            rejection.detail(),
                            rejection.logDetail());
            logEnd(exchange, result.stripTrailing());
        }
    }

    private void logEnd(Exchange exchange, String result) {
        log.report(
                "request-failed",
                "requestId=%s path=%s key=%d server=%s ageMillis=%d %s"
                        .formatted(
                                exchange.head().logId(),
                                exchange.head().path(),
                                exchange.head().key(),
                                exchange.serverId(),
                                exchange.ageMillis(),
                                result));
    }
}
