package org.daisyscale.router.internal.serving;

import java.time.Duration;
import java.util.function.Consumer;
import org.daisyscale.core.keys.KeyAction;
import org.daisyscale.core.keys.KeyController;
import org.daisyscale.core.keys.KeyEvent;
import org.daisyscale.core.serving.KeyAssignment.Owner;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.internal.ring.Ring;
import org.daisyscale.router.serving.BackendDialect;
import org.daisyscale.router.serving.ServingRouterSettings.Address;
import org.daisyscale.router.serving.WireCall;

/** The one duty that owns the control of keys, with its calls to backend servers. One step is for one thread. */
final class KeyDuty {
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(1);
    /** The time for a grant's answer, in milliseconds: a server answers grants at once. */
    private static final long GRANT_MILLIS = 500;
    /** The time for a release's answer, in milliseconds: a server first ends the work on the keys. */
    private static final long RELEASE_MILLIS = 1_500;

    private final KeyController controller;
    private final Ring<KeyEvent> events;
    private final Ring<KeyAction> mapWork;
    private final ControllerLink link;
    private final HttpLoop loop;
    private final BackendDialect dialect;
    private final ServingMetrics metrics;

    KeyDuty(
            KeyController controller,
            Ring<KeyEvent> events,
            Ring<KeyAction> mapWork,
            ControllerLink link,
            HttpLoop loop,
            BackendDialect dialect,
            ServingMetrics metrics) {
        this.controller = controller;
        this.events = events;
        this.mapWork = mapWork;
        this.link = link;
        this.loop = loop;
        this.dialect = dialect;
        this.metrics = metrics;
    }

    /** Waits for an event or for due time, and decides. */
    void runStep() throws InterruptedException {
        long dueNanos = controller.nextDueNanos();
        long waitNanos = dueNanos == Long.MAX_VALUE ? LONGEST_WAIT.toNanos() : dueNanos - System.nanoTime();
        Duration wait = Duration.ofNanos(Math.max(0, Math.min(waitNanos, LONGEST_WAIT.toNanos())));
        KeyEvent event = events.poll(wait).orElseGet(KeyEvent.TimePassed::new);
        controller.handle(event, System.nanoTime()).forEach(this::run);
    }

    private void run(KeyAction action) {
        if (action instanceof KeyAction.SendGrant grant) {
            send(grant);
        } else if (action instanceof KeyAction.SendRelease release) {
            send(release);
        } else if (action instanceof KeyAction.PublishMap publish) {
            link.publish(publish.map());
        } else if (action instanceof KeyAction.Report report) {
            EventLog.info(report.event(), report.detail());
        } else if (!mapWork.offer(action)) {
            metrics.ringFull(mapWork.name());
            EventLog.warn("key-map-work-dropped", "the ring is full");
        }
    }

    private void send(KeyAction.SendGrant grant) {
        WireCall call =
                dialect.grant(grant.firstKey(), grant.lastKey(), grant.fence(), grant.holdMillis(), grant.handover());
        HttpCall made = call(grant.owner(), call, GRANT_MILLIS, end -> {
            boolean isTaken = end.isAnswered() && end.reply().status() == HttpStatusCodes.OK;
            boolean isRefused = end.isAnswered() && dialect.isFenceTooLow(end.reply());
            boolean isUnproved = end.failure() == HttpCall.Failure.UNPROVED;
            String how = isTaken ? "taken" : isRefused ? "fence-too-low" : isUnproved ? "unproved" : "unanswered";
            metrics.keyCallEnded(how);
            if (!isTaken) {
                logEnd("grant-failed", grant.owner(), grant.firstKey(), grant.lastKey(), grant.fence(), end);
            }
            if (isTaken) {
                tell(new KeyEvent.GrantAccepted(grant.callId()));
            } else if (isRefused) {
                tell(new KeyEvent.GrantRejected(grant.callId()));
            } else if (isUnproved) {
                tell(new KeyEvent.RenewalUnverified(grant.callId()));
            } else {
                tell(new KeyEvent.CallUnanswered(grant.callId(), wasSent(end)));
            }
        });
        loop.startPinned(made, grant.fence(), grant.isRenewal());
    }

    private void send(KeyAction.SendRelease release) {
        WireCall call = dialect.release(release.firstKey(), release.lastKey(), release.fence());
        HttpCall made = call(release.owner(), call, RELEASE_MILLIS, end -> {
            boolean isReleased = end.isAnswered() && end.reply().status() == HttpStatusCodes.OK;
            metrics.keyCallEnded(isReleased ? "released" : "release-unanswered");
            logEnd(
                    isReleased ? "range-released" : "release-failed",
                    release.owner(),
                    release.firstKey(),
                    release.lastKey(),
                    release.fence(),
                    end);
            if (isReleased) {
                tell(new KeyEvent.Released(
                        release.callId(), dialect.handover(end.reply().headers())));
            } else if (end.isAnswered() && dialect.isFromAnotherProcess(end.reply())) {
                tell(new KeyEvent.OwnerGone(release.callId()));
            } else {
                tell(new KeyEvent.CallUnanswered(release.callId(), wasSent(end)));
            }
        });
        loop.start(made);
    }

    private HttpCall call(Owner owner, WireCall call, long millis, Consumer<HttpCall.End> onEnd) {
        Address address = new Address(owner.host(), owner.port());
        return new HttpCall(address, StoreClient.request(call, address), millis, dialect::match, onEnd);
    }

    private static boolean wasSent(HttpCall.End end) {
        return end.failure() != HttpCall.Failure.NOT_SENT && end.failure() != HttpCall.Failure.CONNECTION_REFUSED;
    }

    private static void logEnd(String event, Owner owner, int firstKey, int lastKey, long fence, HttpCall.End end) {
        EventLog.info(
                event,
                "server=%s keys=%d-%d fence=%d end=%s"
                        .formatted(
                                owner.serverId(),
                                firstKey,
                                lastKey,
                                fence,
                                end.isAnswered()
                                        ? "status " + end.reply().status()
                                        : end.failure() + " " + end.detail()));
    }

    /** The event loop may wait for room here: the key duty never waits for the loop. */
    private void tell(KeyEvent event) {
        try {
            events.put(event);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
