package org.daisyscale.router.internal.backend;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.membership.ServerStatus;
import org.daisyscale.core.ownership.Grant;
import org.daisyscale.router.internal.duty.DutyThread;
import org.daisyscale.router.internal.json.Json;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.internal.metrics.RouterMetrics;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import ratpack.exec.Promise;
import ratpack.http.client.ReceivedResponse;
import ratpack.http.client.RequestSpec;

/**
 * Probes backend servers and sends them grants. Each accepted call produces exactly one event. When the ring is full,
 * the call fails immediately: a probe as failed, a grant as unanswered. Thread-safe.
 *
 * <pre>{@code
 * try (ControlCalls calls = ControlCalls.start(clients, settings, events, metrics)) {
 *     actions.on(Action.ProbeServer.class, calls::probe);
 * }
 * }</pre>
 */
public final class ControlCalls implements AutoCloseable {
    private static final Duration RING_POLL_TIMEOUT = Duration.ofSeconds(1);
    private static final int OK = 200;
    private static final int CONFLICT = 409;

    private final BackendClients clients;
    private final Duration timeout;
    private final long connectTimeoutNanos;
    private final Ring<Event> events;
    private final RouterMetrics metrics;
    private final Ring<Action> ring;
    private final DutyThread thread;

    private ControlCalls(BackendClients clients, BackendSettings settings, Ring<Event> events, RouterMetrics metrics) {
        this.clients = clients;
        this.timeout = Duration.ofMillis(settings.controlTimeoutMillis());
        this.connectTimeoutNanos =
                Duration.ofMillis(settings.connectTimeoutMillis()).toNanos();
        this.events = events;
        this.metrics = metrics;
        this.ring = new ArrayRing<>("control-calls", settings.ringCapacity());
        metrics.registerRingDepth(ring);
        this.thread = DutyThread.start("control-calls", this::runStep);
    }

    /** Starts the duty thread. */
    public static ControlCalls start(
            BackendClients clients, BackendSettings settings, Ring<Event> events, RouterMetrics metrics) {
        return new ControlCalls(clients, settings, events, metrics);
    }

    /** Enqueues a probe; returns {@link Event.ProbeFailed} if the ring is full, and no events otherwise. */
    public List<Event> probe(Action.ProbeServer probe) {
        return offer(probe) ? List.of() : List.of(new Event.ProbeFailed(probe.server(), System.nanoTime()));
    }

    /** Enqueues a grant; returns {@link Event.GrantUnanswered} if the ring is full, and no events otherwise. */
    public List<Event> grant(Action.SendGrant grant) {
        return offer(grant) ? List.of() : List.of(grantUnanswered(grant));
    }

    private boolean offer(Action action) {
        boolean isAdded = ring.offer(action);
        if (!isAdded) {
            metrics.recordRingFull(ring.name());
        }
        return isAdded;
    }

    private void runStep() throws InterruptedException {
        ring.poll(RING_POLL_TIMEOUT).ifPresent(this::start);
    }

    private void start(Action action) {
        if (action instanceof Action.ProbeServer probe) {
            clients.loops().fork().start(execution -> sendProbe(probe));
        } else if (action instanceof Action.SendGrant grant) {
            clients.loops().fork().start(execution -> sendGrant(grant));
        }
    }

    private void sendProbe(Action.ProbeServer probe) {
        long sentNanos = System.nanoTime();
        call(probe.host(), probe.port(), "/daisyscale/status", spec -> spec.get())
                .map(response -> probeEvent(probe, sentNanos, response))
                .mapError(failure -> new Event.ProbeFailed(probe.server(), sentNanos))
                .then(this::putEvent);
    }

    private Event probeEvent(Action.ProbeServer probe, long sentNanos, ReceivedResponse response) {
        long receivedNanos = System.nanoTime();
        if (response.getStatusCode() != OK) {
            return new Event.ProbeFailed(probe.server(), sentNanos);
        }
        ServerStatus status = Json.read(response.getBody().getBytes(), ServerStatus.class);
        // The answer to an earlier grant on the same connection names no incarnation.
        if (status.incarnation() == null) {
            return new Event.ProbeFailed(probe.server(), sentNanos);
        }
        return new Event.ProbeAnswered(probe.server(), sentNanos, receivedNanos, status);
    }

    private void sendGrant(Action.SendGrant action) {
        byte[] body = Json.write(action.grant());
        call(action.host(), action.port(), "/daisyscale/grant", spec -> prepareGrant(spec, body, action))
                .map(response -> grantEvent(action.grant(), response))
                .mapError(failure -> grantUnanswered(action))
                .then(this::putEvent);
    }

    private void prepareGrant(RequestSpec spec, byte[] body, Action.SendGrant action) {
        spec.put().getBody().type("application/json").bytes(body);
        if (System.nanoTime() + connectTimeoutNanos - action.sendBeforeNanos() > 0) {
            throw new PermitExpiredException("grant to " + action.grant().server());
        }
    }

    private static Event grantEvent(Grant grant, ReceivedResponse response) {
        if (response.getStatusCode() != OK && response.getStatusCode() != CONFLICT) {
            return new Event.GrantUnanswered(grant.server(), grant.mapVersion());
        }
        GrantAnswer answer = Json.read(response.getBody().getBytes(), GrantAnswer.class);
        // A server accepts a grant at the grant's own map version, so another one answers another grant.
        if (answer.isAccepted() && answer.mapVersion() != grant.mapVersion()) {
            return new Event.GrantUnanswered(grant.server(), grant.mapVersion());
        }
        return new Event.GrantAnswered(grant.server(), grant.mapVersion(), answer.isAccepted(), answer.mapVersion());
    }

    private static Event grantUnanswered(Action.SendGrant action) {
        return new Event.GrantUnanswered(action.grant().server(), action.grant().mapVersion());
    }

    private Promise<ReceivedResponse> call(
            String host, int port, String path, ratpack.func.Action<? super RequestSpec> prepare) {
        URI target = URI.create("http://" + host + ":" + port + path);
        return clients.controlClient().request(target, spec -> {
            spec.redirects(0).decompressResponse(false).readTimeout(timeout);
            prepare.execute(spec);
        });
    }

    private void putEvent(Event event) {
        try {
            events.put(event);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            EventLog.warn("event-lost-at-stop", event.getClass().getSimpleName());
        }
    }

    @Override
    public void close() {
        thread.close();
    }
}
