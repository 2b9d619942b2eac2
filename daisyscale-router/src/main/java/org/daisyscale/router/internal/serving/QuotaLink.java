package org.daisyscale.router.internal.serving;

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

    /** Sends {@code report} to the controller, if one is known. Never blocks. */
    void report(QuotaReport report) {
        link.controllerId().ifPresent(controllerId -> {
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
            servingEvents.accept(new ServingEvent.QuotaGranted(granted.grant()));
        }
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
