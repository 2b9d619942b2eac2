package org.daisyscale.router.internal.serving;

import java.time.Duration;
import java.util.Optional;
import org.daisyscale.core.keys.KeyEvent;
import org.daisyscale.core.quota.QuotaAction;
import org.daisyscale.core.quota.QuotaEvent;
import org.daisyscale.core.quota.QuotaLedger;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.log.EventReporter;
import org.daisyscale.router.internal.ring.Ring;

/** Owns the ledger of the organisations' allowances. Not thread-safe; confined to one thread. */
final class QuotaDuty {
    private static final Duration MAX_WAIT = Duration.ofSeconds(1);

    private final QuotaLedger ledger;
    private final Ring<QuotaEvent> events;
    private final QuotaLink link;
    private final EventReporter log;
    private final SuspensionDetector suspensions = new SuspensionDetector();

    QuotaDuty(QuotaLedger ledger, Ring<QuotaEvent> events, QuotaLink link, EventReporter log) {
        this.ledger = ledger;
        this.events = events;
        this.link = link;
        this.log = log;
    }

    /** Waits for an event and runs the actions that result. */
    void runStep() throws InterruptedException {
        Optional<QuotaEvent> event = events.poll(MAX_WAIT);
        if (suspensions.wasSuspended()) {
            handle(new QuotaEvent.LeaseUncertain());
        }
        event.ifPresent(this::handle);
    }

    private void handle(QuotaEvent event) {
        ledger.handle(event, System.nanoTime()).forEach(this::run);
    }

    private void run(QuotaAction action) {
        if (action instanceof QuotaAction.SendGrant send) {
            link.grant(send.routerId(), send.grant());
        } else if (action instanceof QuotaAction.Report report) {
            log.report(report.event(), report.detail());
        }
    }

    /** Returns the event for the ledger that {@code event} of the fleet leads to, if any. */
    static Optional<QuotaEvent> toQuotaEvent(ServingEvent event) {
        if (event instanceof ServingEvent.TableChanged changed) {
            return Optional.of(
                    new QuotaEvent.OrganisationsChanged(changed.table().organisations()));
        }
        if (event instanceof ServingEvent.RoutersChanged changed) {
            return Optional.of(new QuotaEvent.RoutersChanged(changed.routerIds()));
        }
        return Optional.empty();
    }

    /** Returns the event for the ledger that {@code event} of the control lease leads to, if any. */
    static Optional<QuotaEvent> toQuotaEvent(KeyEvent event) {
        if (event instanceof KeyEvent.LeaseRenewed renewed) {
            return Optional.of(new QuotaEvent.LeaseRenewed(renewed.validUntilNanos()));
        }
        return event instanceof KeyEvent.LeaseLost ? Optional.of(new QuotaEvent.LeaseLost()) : Optional.empty();
    }
}
