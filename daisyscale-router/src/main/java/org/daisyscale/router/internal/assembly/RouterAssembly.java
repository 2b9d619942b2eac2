package org.daisyscale.router.internal.assembly;

import org.daisyscale.core.DecisionCore;
import org.daisyscale.core.Event;
import org.daisyscale.router.internal.backend.BackendCalls;
import org.daisyscale.router.internal.backend.BackendClients;
import org.daisyscale.router.internal.backend.ControlCalls;
import org.daisyscale.router.internal.duty.DecisionDuty;
import org.daisyscale.router.internal.duty.DutyThread;
import org.daisyscale.router.internal.duty.RouterClock;
import org.daisyscale.router.internal.front.CallerFront;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.internal.metrics.RouterMetrics;
import org.daisyscale.router.internal.operator.DocumentParser;
import org.daisyscale.router.internal.operator.EnvironmentCheckingParser;
import org.daisyscale.router.internal.operator.LatestConfiguration;
import org.daisyscale.router.internal.operator.OperatorFront;
import org.daisyscale.router.internal.operator.OperatorRequests;
import org.daisyscale.router.internal.request.ByteBudget;
import org.daisyscale.router.internal.request.PendingRequests;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.daisyscale.router.internal.settings.RouterSettings;
import org.daisyscale.router.internal.trace.TraceRecorder;

/**
 * Assembles and runs one router: opens every duty with its ring in dependency order and closes them in reverse order.
 * The HTTP server for callers rejects requests when the event ring is full; all other events wait for space. Not
 * thread-safe; {@link #runUntilStopped} is for one thread.
 *
 * <pre>{@code
 * RouterAssembly router = new RouterAssembly(settings, core, links, documents, stopSignal);
 * router.runUntilStopped(ports -> log(ports));
 * }</pre>
 */
public final class RouterAssembly {
    private final RouterSettings settings;
    private final DecisionCore core;
    private final LinkFactory links;
    private final DocumentParser documents;
    private final StopSignal stopSignal;
    private final RouterMetrics metrics = new RouterMetrics();
    private final PendingRequests pending = new PendingRequests();
    private final LatestConfiguration latestConfiguration = new LatestConfiguration();
    private final ByteBudget budget;
    private final Ring<Event> events;
    private final OperatorRequests operatorRequests;

    /** Creates a router that does not run yet. */
    public RouterAssembly(
            RouterSettings settings,
            DecisionCore core,
            LinkFactory links,
            DocumentParser documents,
            StopSignal stopSignal) {
        this.settings = settings;
        this.core = core;
        this.links = links;
        this.documents =
                new EnvironmentCheckingParser(documents, settings.identity().environment());
        this.stopSignal = stopSignal;
        this.budget = new ByteBudget(settings.limits().maxBufferedBytes());
        this.events = new ArrayRing<>("events", settings.limits().eventRingCapacity());
        this.operatorRequests = new OperatorRequests(events);
        metrics.registerRingDepth(events);
        metrics.registerGauge("daisyscale_buffered_bytes", "Bytes of bodies held now", budget::usedBytes);
        metrics.registerGauge("daisyscale_requests_waiting", "Requests not replied to yet", pending::size);
    }

    /** Runs until a stop is complete, its time limit passes or a fault occurs; passes the ports to {@code onReady}. */
    public void runUntilStopped(ReadyListener onReady) throws Exception {
        try (TraceRecorder trace = openTrace();
                BackendClients clients = BackendClients.open(settings.backend());
                BackendCalls orders = BackendCalls.start(clients, settings.backend(), pending, events, metrics);
                ControlCalls control = ControlCalls.start(clients, settings.backend(), events, metrics);
                PeerLinks peers = links.openPeers(settings, events);
                PlatformLink platform = links.openPlatform(settings, events);
                DutyThread decisions = startDecisions(new Duties(orders, control, peers, platform), trace);
                AutoCloseable vmList = links.openVmList(settings, events);
                OperatorFront operators = OperatorFront.start(
                        settings.operators(), operatorRequests, latestConfiguration, documents, metrics);
                CallerFront callers = CallerFront.start(
                        settings.callers(), settings.identity().routerId(), events, pending, budget, metrics)) {
            onReady.ready(new Ports(callers.port(), operators.port()));
            awaitStop();
        }
    }

    /** Opens the trace; returns null if the settings name no trace file. */
    private TraceRecorder openTrace() {
        String file = settings.log().traceFile();
        return file.isEmpty() ? null : TraceRecorder.open(file);
    }

    private DutyThread startDecisions(Duties duties, TraceRecorder trace) {
        ActionWiring wiring =
                new ActionWiring(duties, pending, operatorRequests, latestConfiguration, metrics, stopSignal);
        ShellObserver observer =
                new ShellObserver(metrics, pending, stopSignal, trace == null ? entry -> {} : trace::record);
        DecisionDuty duty = new DecisionDuty(
                core, events, wiring.router(), RouterClock.system(), observer, () -> stopSignal.fault() == null);
        return DutyThread.start("decisions", duty::runStep);
    }

    private void awaitStop() throws InterruptedException {
        stopSignal.awaitStopRequest();
        if (stopSignal.fault() == null) {
            events.put(new Event.StopRequested());
            boolean isDone = stopSignal.awaitStopComplete(settings.limits().stopLimitMillis());
            EventLog.info("stopping", isDone ? "all requests have ended" : "the time limit for stopping passed");
        }
    }

    /**
     * The HTTP ports that a router listens on. Immutable.
     *
     * @param callerPort the port for callers
     * @param operatorPort the port for operators
     */
    public record Ports(int callerPort, int operatorPort) {}

    /** Receives the ports once the router listens. */
    @FunctionalInterface
    public interface ReadyListener {

        /** Called once, when the router listens on {@code ports}. */
        void ready(Ports ports);
    }

    /**
     * The duties that handle actions. Immutable.
     *
     * @param orders sends orders
     * @param control sends probes and grants
     * @param peers sends messages to other routers
     * @param platform calls the platform's service
     */
    record Duties(BackendCalls orders, ControlCalls control, PeerLinks peers, PlatformLink platform) {}
}
