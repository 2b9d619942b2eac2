package org.daisyscale.router.internal.serving;

import java.util.Optional;
import java.util.function.Consumer;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.quota.QuotaEvent;
import org.daisyscale.core.quota.QuotaGrant;
import org.daisyscale.core.quota.QuotaReport;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.ring.Ring;

/**
 * Carries reports and grants of the organisations' allowances between the routers and the controller. The controller's
 * own requests use the same path without a connection. A report that finds no room is lost, which the ledger notices by
 * its sequence. Thread-safe.
 */
final class QuotaLink {
    private final String routerId;
    private final ControllerLink link;
    private final Ring<QuotaEvent> events;
    private final Consumer<ServingEvent> servingEvents;
    private final Consumer<Ring<?>> onFull;
    /** The router whose ledger answered last; empty if another controller was seen in the store since. */
    private volatile Optional<String> ledgerId = Optional.empty();

    QuotaLink(
            String routerId,
            ControllerLink link,
            Ring<QuotaEvent> events,
            Consumer<ServingEvent> servingEvents,
            Consumer<Ring<?>> onFull) {
        this.routerId = routerId;
        this.link = link;
        this.events = events;
        this.servingEvents = servingEvents;
        this.onFull = onFull;
    }

    /**
     * Sends {@code report} to the router that keeps the ledger, if one is known. Never blocks. A router that is cut off
     * from the store doesn't read who the new controller is, but is connected by it and hears of its ledger. A ledger
     * counts only what it granted, so a report to a former controller costs at most the credits that it wanted.
     */
    void report(QuotaReport report) {
        ledgerId.or(link::controllerId).ifPresent(controllerId -> {
            if (controllerId.equals(routerId)) {
                offer(new QuotaEvent.ReportReceived(routerId, report));
            } else {
                link.send(controllerId, new PeerMessage.QuotaReported(report));
            }
        });
    }

    /** Sends {@code grant} to the router {@code receiverId}; blocks while the ring of the own decisions is full. */
    void grant(String receiverId, QuotaGrant grant) {
        if (receiverId.equals(routerId)) {
            ledgerId = Optional.of(routerId);
            servingEvents.accept(new ServingEvent.QuotaGranted(grant));
        } else {
            link.send(receiverId, new PeerMessage.QuotaGranted(grant));
        }
    }

    /** Handles a message of another router; one that is not about allowances is ignored. */
    void handle(String from, PeerMessage message) {
        if (message instanceof PeerMessage.QuotaReported reported) {
            offer(new QuotaEvent.ReportReceived(from, reported.report()));
        } else if (message instanceof PeerMessage.QuotaGranted granted) {
            ledgerId = Optional.of(from);
            servingEvents.accept(new ServingEvent.QuotaGranted(granted.grant()));
        }
    }

    /** Records that another router than before was seen as the controller in the store. */
    void handleControllerChanged() {
        ledgerId = Optional.empty();
    }

    /** Records that a connection to {@code peer} was opened. */
    void handleConnected(String peer) {
        offer(new QuotaEvent.RouterConnected(peer));
    }

    private void offer(QuotaEvent event) {
        if (!events.offer(event)) {
            onFull.accept(events);
        }
    }
}
