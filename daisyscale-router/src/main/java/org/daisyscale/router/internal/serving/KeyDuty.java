package org.daisyscale.router.internal.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import org.daisyscale.core.keys.KeyAction;
import org.daisyscale.core.keys.KeyAction.EvacuationChanged.State;
import org.daisyscale.core.keys.KeyController;
import org.daisyscale.core.keys.KeyEvent;
import org.daisyscale.core.serving.KeyAssignment.Owner;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.internal.ring.Ring;
import org.daisyscale.router.serving.BackendDialect;
import org.daisyscale.router.serving.ServingRouterSettings.Address;
import org.daisyscale.router.serving.WireCall;

/** Owns the control of the keys and makes its calls to backend servers. Not thread-safe; confined to one thread. */
final class KeyDuty {
    private static final Duration MAX_WAIT = Duration.ofSeconds(1);
    /** Limit of the events that are handled together, so that grants stay due while events keep arriving. */
    private static final int MAX_BATCH = 256;
    /** Timeout of a grant, in milliseconds: a server responds to grants at once. */
    private static final long GRANT_TIMEOUT_MILLIS = 500;
    /** Timeout of a release, in milliseconds: a server first completes the work on the keys. */
    private static final long RELEASE_TIMEOUT_MILLIS = 1_500;

    private final KeyController controller;
    private final Ring<KeyEvent> events;
    private final Ring<KeyAction> mapActions;
    private final ControllerLink link;
    private final HttpLoop loop;
    private final BackendDialect dialect;
    private final ServingMetrics metrics;
    private final SuspensionDetector suspensions = new SuspensionDetector();

    KeyDuty(
            KeyController controller,
            Ring<KeyEvent> events,
            Ring<KeyAction> mapActions,
            ControllerLink link,
            HttpLoop loop,
            BackendDialect dialect,
            ServingMetrics metrics) {
        this.controller = controller;
        this.events = events;
        this.mapActions = mapActions;
        this.link = link;
        this.loop = loop;
        this.dialect = dialect;
        this.metrics = metrics;
    }

    /** Waits for an event or the next due time, and runs the actions that result from all waiting events together. */
    void runStep() throws InterruptedException {
        long dueNanos = controller.nextDueNanos();
        long waitNanos = dueNanos == Long.MAX_VALUE ? MAX_WAIT.toNanos() : dueNanos - System.nanoTime();
        Duration wait = Duration.ofNanos(Math.max(0, Math.min(waitNanos, MAX_WAIT.toNanos())));
        List<KeyEvent> batch = new ArrayList<>();
        KeyEvent first = events.poll(wait).orElseGet(KeyEvent.TimePassed::new);
        if (suspensions.wasSuspended()) {
            EventLog.warn("vm-suspended", "control of the keys stops until the lease is renewed");
            batch.add(new KeyEvent.LeaseUncertain());
        }
        batch.add(first);
        Optional<KeyEvent> next = events.poll(Duration.ZERO);
        while (next.isPresent()) {
            batch.add(next.get());
            next = batch.size() < MAX_BATCH ? events.poll(Duration.ZERO) : Optional.empty();
        }
        controller.handle(batch, System.nanoTime()).forEach(this::run);
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
        } else if (action instanceof KeyAction.EvacuationChanged evacuation) {
            record(evacuation);
        } else if (!mapActions.offer(action)) {
            metrics.ringFull(mapActions.name());
            EventLog.warn("key-map-work-dropped", "the ring of the key maps is full");
        }
    }

    private void record(KeyAction.EvacuationChanged evacuation) {
        metrics.evacuationChanged(evacuation);
        if (evacuation.state() != State.UNDER_WAY) {
            EventLog.info(
                    "evacuation-" + evacuation.state().name().toLowerCase(Locale.ROOT),
                    "dataCentre=%s service=%s ranges=%d left=%d elapsedMillis=%d"
                            .formatted(
                                    evacuation.dataCentre(),
                                    evacuation.service(),
                                    evacuation.firstRanges(),
                                    evacuation.ranges(),
                                    evacuation.elapsedMillis()));
        }
    }

    private void send(KeyAction.SendGrant grant) {
        WireCall call =
                dialect.grant(grant.firstKey(), grant.lastKey(), grant.fence(), grant.holdMillis(), grant.handover());
        HttpCall httpCall = createCall(grant.owner(), call, GRANT_TIMEOUT_MILLIS, end -> handleEnd(grant, end));
        httpCall.expireUnsentAt(grant.sendBeforeNanos());
        httpCall.keepConnectionAfter(status -> status == HttpStatusCodes.OK);
        Optional<ProcessCheck> check = processCheck(grant.owner(), grant.healthPath());
        if (grant.needsProof()) {
            loop.startAlone(httpCall, check);
        } else {
            loop.startPinned(httpCall, grant.fence(), grant.isRenewal(), check);
        }
    }

    /** A rejection that may be a copy counts as no answer, so that the next try has a new connection. */
    private void handleEnd(KeyAction.SendGrant grant, HttpCall.End end) {
        boolean isTaken = end.isAnswered() && end.reply().status() == HttpStatusCodes.OK;
        boolean isRefused = end.isFirst() && dialect.isFenceTooLow(end.reply());
        metrics.keyCallEnded(isTaken ? "taken" : isRefused ? "fence-too-low" : result(end));
        if (!isTaken) {
            logEnd("grant-failed", grant.owner(), grant.firstKey(), grant.lastKey(), grant.fence(), end);
        }
        if (isTaken) {
            putEvent(new KeyEvent.GrantAccepted(grant.callId(), end.isFirst()));
        } else if (isRefused) {
            putEvent(new KeyEvent.GrantRejected(grant.callId()));
        } else if (end.failure() == HttpCall.Failure.OTHER_PROCESS) {
            putEvent(new KeyEvent.OwnerGone(grant.callId()));
        } else if (end.failure() == HttpCall.Failure.UNPROVED) {
            putEvent(new KeyEvent.RenewalUnverified(grant.callId()));
        } else {
            putUnanswered(grant.callId(), end);
        }
    }

    private void send(KeyAction.SendRelease release) {
        WireCall call = dialect.release(release.firstKey(), release.lastKey(), release.fence());
        HttpCall httpCall = createCall(release.owner(), call, RELEASE_TIMEOUT_MILLIS, end -> {
            boolean isReleased = end.isAnswered() && end.reply().status() == HttpStatusCodes.OK;
            metrics.keyCallEnded(isReleased ? "released" : "release-" + result(end));
            logEnd(
                    isReleased ? "range-released" : "release-failed",
                    release.owner(),
                    release.firstKey(),
                    release.lastKey(),
                    release.fence(),
                    end);
            if (isReleased) {
                putEvent(new KeyEvent.Released(
                        release.callId(), dialect.handover(end.reply().headers())));
            } else if (end.failure() == HttpCall.Failure.OTHER_PROCESS
                    || (end.isAnswered() && dialect.isFromAnotherProcess(end.reply()))) {
                putEvent(new KeyEvent.OwnerGone(release.callId()));
            } else {
                putUnanswered(release.callId(), end);
            }
        });
        httpCall.expireUnsentAt(release.sendBeforeNanos());
        loop.startAlone(httpCall, processCheck(release.owner(), release.healthPath()));
    }

    private Optional<ProcessCheck> processCheck(Owner owner, String healthPath) {
        Address address = new Address(owner.host(), owner.port());
        return healthPath.isEmpty()
                ? Optional.empty()
                : Optional.of(new HealthProcessCheck(dialect, address, owner.serverId(), healthPath));
    }

    private static String result(HttpCall.End end) {
        if (end.failure() == HttpCall.Failure.UNPROVED) {
            return "unproved";
        }
        if (end.failure() == HttpCall.Failure.OTHER_PROCESS) {
            return "other-process";
        }
        return end.failure() == HttpCall.Failure.EXPIRED ? "expired" : "unanswered";
    }

    private void putUnanswered(long callId, HttpCall.End end) {
        putEvent(
                end.failure() == HttpCall.Failure.EXPIRED
                        ? new KeyEvent.CallExpired(callId)
                        : new KeyEvent.CallUnanswered(callId, wasSent(end)));
    }

    private HttpCall createCall(Owner owner, WireCall call, long timeoutMillis, Consumer<HttpCall.End> onEnd) {
        Address address = new Address(owner.host(), owner.port());
        return new HttpCall(address, StoreClient.request(call, address), timeoutMillis, dialect::match, onEnd);
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

    /**
     * Adds {@code event}, blocking the event loop while the ring is full. The key duty never waits for the event loop,
     * so this cannot deadlock.
     */
    private void putEvent(KeyEvent event) {
        try {
            events.put(event);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
