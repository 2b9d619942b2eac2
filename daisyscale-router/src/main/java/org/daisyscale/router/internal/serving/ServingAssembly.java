package org.daisyscale.router.internal.serving;

import java.util.Optional;
import java.util.function.Consumer;
import org.daisyscale.core.keys.KeyAction;
import org.daisyscale.core.keys.KeyController;
import org.daisyscale.core.keys.KeyEvent;
import org.daisyscale.core.peer.PeerMessage.OperatorUpdate;
import org.daisyscale.core.serving.RequestRouter;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.assembly.StopSignal;
import org.daisyscale.router.internal.duty.DutyThread;
import org.daisyscale.router.internal.error.ShellException;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.internal.request.ByteBudget;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.daisyscale.router.serving.PlatformDialect;
import org.daisyscale.router.serving.ServingRouterSettings;
import org.daisyscale.router.serving.ServingRouterSettings.Address;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;

/** Puts the duties together and runs them until a stop is asked for. Used by one thread. */
public final class ServingAssembly {
    private static final int RING_CAPACITY = 4_096;
    /** Updates of what operators wrote that wait; each holds those before it. */
    private static final int UPDATE_CAPACITY = 16;

    /** Bodies held at once, in bytes: a quarter of the memory that the smallest VM gives a router. */
    private static final long BODY_BUDGET_BYTES = 80L << 20;
    /** The balancer sends new connections for this long after readiness ends, in milliseconds: two checks. */
    private static final long BALANCER_MILLIS = 2_600;

    /** Changes of the store are gathered this long, in milliseconds: a tenth of the time they have to be in force. */
    private static final long GATHER_MILLIS = 200;

    private static final long STEP_MILLIS = 50;
    private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private final ServingRouterSettings settings;
    private final PlatformDialect dialect;
    private final ServingMetrics metrics = new ServingMetrics();
    private final Readiness readiness = new Readiness();
    private final Exchanges exchanges = new Exchanges();
    private final CallerConnections connections = new CallerConnections();
    private final Ring<ServingEvent> servingEvents = new ArrayRing<>("decisions", RING_CAPACITY);
    private final Ring<KeyEvent> keyEvents = new ArrayRing<>("keys", RING_CAPACITY);
    private final Ring<OperatorUpdate> operatorUpdates = new ArrayRing<>("operator-updates", UPDATE_CAPACITY);
    private final Ring<KeyAction> mapWork = new ArrayRing<>("key-maps", RING_CAPACITY);

    /** Creates the assembly; nothing runs yet. */
    public ServingAssembly(ServingRouterSettings settings, PlatformDialect dialect) {
        this.settings = settings;
        this.dialect = dialect;
        metrics.watch("daisyscale_serving_open_requests", "Requests without a final answer", exchanges::size);
        metrics.watch("daisyscale_serving_ring_depth_decisions", "Events waiting", servingEvents::size);
        metrics.watch("daisyscale_serving_ring_depth_keys", "Events waiting", keyEvents::size);
    }

    /** Runs until {@code stopSignal} asks for the stop and the stop is done. */
    public void runUntilAsked(StopSignal stopSignal) throws InterruptedException {
        RatpackServer ready = HttpServers.start(settings.readiness(), this::answerReadiness);
        RatpackServer callers = HttpServers.start(settings.callers(), callerHandler());
        EventLog.info("started", "router=" + settings.serving().routerId() + " settings=" + settings);
        try (HttpLoop loop = HttpLoop.start("calls");
                ControllerLink controller = new ControllerLink(
                        settings.serving().routerId(),
                        settings.peers(),
                        wait(servingEvents),
                        wait(keyEvents),
                        operatorUpdates)) {
            StoreClient store = new StoreClient(loop, settings.store(), dialect.store());
            LeaseDuty lease = new LeaseDuty(
                    store, settings.serving().routerId(), settings.peers(), wait(servingEvents), wait(keyEvents));
            Directory directory = new Directory(dialect.fleet(), wait(servingEvents), wait(keyEvents), readiness);
            try (DutyThread decisions = DutyThread.start("decisions", servingDuty(loop, controller)::runStep);
                    DutyThread keys = DutyThread.start("keys", keyDuty(loop, controller)::runStep);
                    DutyThread operators = followOperators(store, controller, directory.operators());
                    DutyThread servers =
                            follow(store, dialect.fleet().serverPrefix(), controller, directory.servers(), () -> {});
                    DutyThread routers = follow(
                            store,
                            StoreKeys.PREFIX,
                            controller,
                            directory.routers(settings.serving().routerId(), lease, controller),
                            directory::routersCurrent);
                    DutyThread leases = DutyThread.start("lease", lease::runStep);
                    DutyThread polls = DutyThread.start(
                            "key-map-polls", new KeyMapPollDuty(store, controller, wait(servingEvents))::runStep);
                    DutyThread maps =
                            DutyThread.start("key-maps", new KeyMapDuty(store, mapWork, wait(keyEvents))::runStep)) {
                Optional<RatpackServer> metricsPage = startMetricsPage();
                stopSignal.awaitAsked();
                stop(lease);
                HttpServers.stop(callers);
                metricsPage.ifPresent(HttpServers::stop);
            }
        }
        HttpServers.stop(ready);
    }

    /** Without its metrics page a router still serves. */
    private Optional<RatpackServer> startMetricsPage() {
        try {
            Address address = new Address(settings.readiness().host(), settings.metricsPort());
            return Optional.of(HttpServers.start(address, this::answerMetrics));
        } catch (ShellException e) {
            EventLog.warn("metrics-unavailable", e.getMessage());
            return Optional.empty();
        }
    }

    private ServingHandler callerHandler() {
        return new ServingHandler(
                dialect.callers(), servingEvents, exchanges, connections, new ByteBudget(BODY_BUDGET_BYTES), metrics);
    }

    private ServingDuty servingDuty(HttpLoop loop, ControllerLink controller) {
        AttemptCalls attempts = new AttemptCalls(loop, dialect.backends(), wait(servingEvents)::accept);
        RequestRouter router = RequestRouter.create(settings.serving());
        return new ServingDuty(router, servingEvents, exchanges, attempts, controller::report, metrics);
    }

    private KeyDuty keyDuty(HttpLoop loop, ControllerLink link) {
        KeyController controller = KeyController.create(settings.keys());
        return new KeyDuty(controller, keyEvents, mapWork, link, loop, dialect.backends(), metrics);
    }

    private DutyThread follow(
            StoreClient store,
            String prefix,
            ControllerLink controller,
            FleetWatchDuty.Listener listener,
            Runnable onCurrent) {
        FollowedWatch guard = guard(prefix, controller, onCurrent);
        FleetWatchDuty duty = new FleetWatchDuty(store, prefix, guard, GATHER_MILLIS, listener);
        return DutyThread.start("watch-" + prefix, duty::runStep);
    }

    private DutyThread followOperators(StoreClient store, ControllerLink controller, OperatorBook book) {
        String prefix = dialect.fleet().operatorPrefix();
        FollowedWatch guard = guard(prefix, controller, () -> {});
        OperatorWatchDuty duty =
                new OperatorWatchDuty(store, prefix, guard, GATHER_MILLIS, operatorUpdates, book, controller::publish);
        return DutyThread.start("watch-" + prefix, duty::runStep);
    }

    private FollowedWatch guard(String prefix, ControllerLink controller, Runnable onCurrent) {
        FollowedWatch guard =
                new FollowedWatch(prefix, controller::publish, controller::isController, onCurrent, System::nanoTime);
        controller.add(guard);
        metrics.viewAge(prefix, guard::ageMillis);
        return guard;
    }

    private void answerReadiness(Context context) {
        boolean isReady = readiness.isReady();
        context.getResponse().status(isReady ? HttpStatusCodes.OK : HttpStatusCodes.SERVICE_UNAVAILABLE);
        context.getResponse().send(isReady ? "ready" : "not ready");
    }

    private void answerMetrics(Context context) {
        context.getResponse().send(METRICS_TYPE, metrics.exposition());
    }

    /** Takes no new work and lets the work that is here end; the control of the keys is given back first. */
    private void stop(LeaseDuty lease) throws InterruptedException {
        EventLog.info("stopping", "openRequests=" + exchanges.size() + " connections=" + connections.size());
        readiness.stopping();
        connections.startClosing();
        lease.stop();
        long startNanos = System.nanoTime();
        boolean isOver = false;
        while (!isOver) {
            Thread.sleep(STEP_MILLIS);
            long passedMillis = (System.nanoTime() - startNanos) / 1_000_000L;
            if (passedMillis >= BALANCER_MILLIS) {
                connections.startRefusing();
                connections.closeIdle();
            }
            isOver = passedMillis >= settings.stopMillis()
                    || (passedMillis > BALANCER_MILLIS + STEP_MILLIS
                            && exchanges.size() == 0
                            && connections.size() == 0);
        }
        EventLog.info("stopped", "openRequests=" + exchanges.size() + " connections=" + connections.size());
    }

    /** Adds to {@code ring}, waiting for room: its reader never waits for those who add. */
    private static <T> Consumer<T> wait(Ring<T> ring) {
        return item -> {
            try {
                ring.put(item);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        };
    }
}
