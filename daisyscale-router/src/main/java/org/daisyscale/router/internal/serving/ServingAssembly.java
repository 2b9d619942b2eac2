package org.daisyscale.router.internal.serving;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.daisyscale.core.following.ItemView;
import org.daisyscale.core.following.ViewContents;
import org.daisyscale.core.following.ViewFollower;
import org.daisyscale.core.following.ViewListener;
import org.daisyscale.core.keys.KeyAction;
import org.daisyscale.core.keys.KeyController;
import org.daisyscale.core.keys.KeyEvent;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.core.quota.QuotaEvent;
import org.daisyscale.core.quota.QuotaLedger;
import org.daisyscale.core.serving.LossRecord;
import org.daisyscale.core.serving.RequestRouter;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.assembly.StopSignal;
import org.daisyscale.router.internal.duty.DutyThread;
import org.daisyscale.router.internal.error.ShellException;
import org.daisyscale.router.internal.following.FollowDuty;
import org.daisyscale.router.internal.following.FollowEvent;
import org.daisyscale.router.internal.following.FollowReports;
import org.daisyscale.router.internal.following.FollowedPrefix;
import org.daisyscale.router.internal.following.ItemFailureListener;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.internal.request.ByteBudget;
import org.daisyscale.router.internal.request.ReplyBody;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.daisyscale.router.serving.PlatformDialect;
import org.daisyscale.router.serving.ServingRouterSettings;
import org.daisyscale.router.serving.ServingRouterSettings.Address;
import org.daisyscale.router.serving.StopSchedule;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;

/** Assembles the duties and runs them until a stop is requested. Not thread-safe; confined to one thread. */
public final class ServingAssembly {
    private static final int RING_CAPACITY = 4_096;
    /** Capacity of the ring of each duty that follows the store; a lost event is made up for, see ViewFollower. */
    private static final int FOLLOW_RING_CAPACITY = 256;

    /** Capacity of the ring of the losses to be stored; they are bounded per time, and routers tell each other. */
    private static final int LOSS_RING_CAPACITY = 64;

    /**
     * How long the balancer may still send new connections after this router stops being ready, in milliseconds: two
     * health checks.
     */
    private static final long BALANCER_GRACE_MILLIS = 2_600;

    /**
     * How long changes of the store are batched, in milliseconds: a tenth of the time within which they must be in
     * force.
     */
    private static final long CHANGE_BATCH_MILLIS = 200;

    private static final long STOP_CHECK_MILLIS = 50;

    private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private final ServingRouterSettings settings;
    private final PlatformDialect dialect;
    private final MemoryShares memory;
    private final ServingMetrics metrics = new ServingMetrics();
    private final Readiness readiness = new Readiness(metrics.startTimes());
    private final ExchangeRegistry exchanges = new ExchangeRegistry();
    private final CallerConnections connections = new CallerConnections();
    private final Ring<ServingEvent> servingEvents = new ArrayRing<>("decisions", RING_CAPACITY);
    private final Ring<KeyEvent> keyEvents = new ArrayRing<>("keys", RING_CAPACITY);
    private final Ring<QuotaEvent> quotaEvents = new ArrayRing<>("allowances", RING_CAPACITY);
    private final Ring<KeyAction> mapActions = new ArrayRing<>("key-maps", RING_CAPACITY);
    private final Ring<LossRecord> losses = new ArrayRing<>("losses", LOSS_RING_CAPACITY);

    /** Creates the assembly without starting it. */
    public ServingAssembly(ServingRouterSettings settings, PlatformDialect dialect) {
        this.settings = settings;
        this.dialect = dialect;
        this.memory = MemoryShares.ofThisProcess(settings.memoryMb());
        metrics.registerOpenRequests(exchanges::size);
        metrics.registerRingDepth(servingEvents);
        metrics.registerRingDepth(keyEvents);
        metrics.registerRingDepth(quotaEvents);
    }

    /** Runs until {@code stopSignal} requests the stop and the stop is complete. */
    public void runUntilStopped(StopSignal stopSignal) throws InterruptedException {
        RatpackServer ready = HttpServers.start(settings.readiness(), this::answerReadiness);
        RatpackServer callers = HttpServers.start(settings.callers(), createCallerHandler());
        EventLog.info("started", "router=" + settings.serving().routerId() + " settings=" + settings);
        try (HttpLoop loop = HttpLoop.start("calls", this::reportExtraResponse, memory.backendBytes());
                ControllerLink controller = new ControllerLink(
                        settings.serving().routerId(),
                        settings.peers(),
                        blockingPut(servingEvents),
                        this::offerKeyEvent,
                        EventLog::info)) {
            StoreClient client = new StoreClient(loop, settings.store(), dialect.store());
            CoordinationStore store = new CountedStore(client, metrics);
            LeaseDuty lease = createLeaseDuty(store);
            client.onNewEra(lease::recordEra);
            metrics.registerStoreEra(client::era);
            KeyMapPollDuty polls = new KeyMapPollDuty(
                    store,
                    controller::isReceivingKeyMaps,
                    lease::isControlled,
                    blockingPut(servingEvents),
                    System::nanoTime);
            CoordinationStore listing = new KeyMapListingStore(store, polls::recordListed);
            FleetListeners listeners =
                    new FleetListeners(dialect.fleet(), fleetEvents(), blockingPut(keyEvents), readiness);
            QuotaLink quotas = createQuotaLink(controller);
            LossDuty lossDuty = new LossDuty(store, losses, System::nanoTime, System::currentTimeMillis);
            try (DutyThread decisions =
                            DutyThread.start("decisions", createServingDuty(loop, controller, quotas)::runStep);
                    DutyThread allowances = DutyThread.start("allowances", createQuotaDuty(quotas)::runStep);
                    DutyThread keys = DutyThread.start("keys", createKeyDuty(loop, controller)::runStep);
                    FollowedPrefix operators = followOperators(store, controller, listeners);
                    FollowedPrefix servers = followServers(store, controller, listeners);
                    FollowedPrefix routers = followRouters(listing, controller, listeners, lease, lossDuty);
                    DutyThread lossRecords = DutyThread.start("losses", lossDuty::runStep);
                    DutyThread leases = DutyThread.start("lease", lease::runStep);
                    DutyThread keyMapPolls = DutyThread.start("key-map-polls", polls::runStep);
                    DutyThread maps = DutyThread.start(
                            "key-maps", new KeyMapDuty(store, mapActions, blockingPut(keyEvents))::runStep)) {
                Optional<RatpackServer> metricsPage = startMetricsPage();
                stopSignal.awaitStopRequest();
                stop(lease);
                HttpServers.stop(callers);
                metricsPage.ifPresent(HttpServers::stop);
            }
        }
        HttpServers.stop(ready);
    }

    private void reportExtraResponse(ExtraResponse extra) {
        metrics.extraResponse(extra.kind());
        EventLog.info("extra-response", extra.describe());
    }

    /** Starts the metrics page; returns empty when it cannot listen, because a router serves without it as well. */
    private Optional<RatpackServer> startMetricsPage() {
        try {
            Address address = new Address(settings.readiness().host(), settings.metricsPort());
            return Optional.of(HttpServers.start(address, this::answerMetrics));
        } catch (ShellException e) {
            EventLog.warn("metrics-unavailable", e.getMessage());
            return Optional.empty();
        }
    }

    private LeaseDuty createLeaseDuty(CoordinationStore store) {
        Address peers = settings.peers();
        RouterEntry self =
                new RouterEntry(settings.serving().routerId(), peers.host(), peers.port(), 0, settings.cores());
        return new LeaseDuty(
                store, self, blockingPut(servingEvents), leaseEvents(), new SuspensionDetector(), System::nanoTime);
    }

    private ServingHandler createCallerHandler() {
        ByteBudget budget = new ByteBudget(memory.callerBytes());
        metrics.registerCallerBytes(budget);
        return new ServingHandler(dialect.callers(), servingEvents, exchanges, connections, budget, metrics);
    }

    /** Returns a consumer of what the store contains, which the ledger of the allowances also needs to know. */
    private Consumer<ServingEvent> fleetEvents() {
        Consumer<QuotaEvent> quotas = blockingPut(quotaEvents);
        return blockingPut(servingEvents)
                .andThen(event -> QuotaDuty.toQuotaEvent(event).ifPresent(quotas));
    }

    private Consumer<KeyEvent> leaseEvents() {
        Consumer<QuotaEvent> quotas = blockingPut(quotaEvents);
        return blockingPut(keyEvents)
                .andThen(event -> QuotaDuty.toQuotaEvent(event).ifPresent(quotas));
    }

    private QuotaLink createQuotaLink(ControllerLink controller) {
        QuotaLink quotas = new QuotaLink(
                settings.serving().routerId(),
                controller,
                quotaEvents,
                blockingPut(servingEvents),
                ring -> metrics.ringFull(ring.name()));
        controller.followQuotas(quotas);
        return quotas;
    }

    private QuotaDuty createQuotaDuty(QuotaLink quotas) {
        QuotaLedger ledger = new QuotaLedger(
                settings.serving().routerId(), settings.serving().quota());
        return new QuotaDuty(ledger, quotaEvents, quotas, EventLog::info);
    }

    private ServingDuty createServingDuty(HttpLoop loop, ControllerLink controller, QuotaLink quotas) {
        AttemptSender attempts = new AttemptSender(loop, dialect.backends(), blockingPut(servingEvents)::accept);
        HealthCheckSender healthChecks = new HealthCheckSender(loop, dialect.backends(), blockingPut(servingEvents));
        RequestRouter router = RequestRouter.create(settings.serving());
        return new ServingDuty(
                router,
                servingEvents,
                exchanges,
                attempts,
                healthChecks,
                controller::report,
                controller::share,
                this::offerLosses,
                quotas::report,
                EventLog::info,
                metrics);
    }

    private KeyDuty createKeyDuty(HttpLoop loop, ControllerLink link) {
        KeyController controller = KeyController.create(settings.keys());
        return new KeyDuty(controller, keyEvents, mapActions, link, loop, dialect.backends(), metrics);
    }

    private FollowedPrefix followOperators(
            CoordinationStore store, ControllerLink controller, FleetListeners listeners) {
        OperatorState state = listeners.createOperatorState();
        return follow(store, dialect.fleet().operatorPrefix(), controller, state, true, this::offerConfirmation);
    }

    private FollowedPrefix followServers(CoordinationStore store, ControllerLink controller, FleetListeners listeners) {
        String prefix = dialect.fleet().serverPrefix();
        ItemView view = new ItemView(prefix, new ItemFailureListener(listeners.createServerListener()));
        return follow(store, prefix, controller, view, false, nanos -> {});
    }

    private FollowedPrefix followRouters(
            CoordinationStore store,
            ControllerLink controller,
            FleetListeners listeners,
            LeaseDuty lease,
            LossDuty lossDuty) {
        ViewListener listener =
                listeners.createRouterListener(settings.serving().routerId(), lease, controller, lossDuty);
        ItemView view = new ItemView(StoreKeys.PREFIX, new ItemFailureListener(listener));
        return follow(store, StoreKeys.PREFIX, controller, view, false, listeners::confirmRouters);
    }

    /**
     * Starts the duty that follows {@code prefix}.
     *
     * @param isListedWhileChanging see {@link ViewFollower}
     * @param onCurrent receives when the view was last known to lack nothing, by the monotonic clock
     */
    private FollowedPrefix follow(
            CoordinationStore store,
            String prefix,
            ControllerLink controller,
            ViewContents contents,
            boolean isListedWhileChanging,
            Consumer<Long> onCurrent) {
        Ring<FollowEvent> inbox = new ArrayRing<>("follow-" + prefix, FOLLOW_RING_CAPACITY);
        ViewFollower follower = new ViewFollower(
                new SplittableRandom(),
                CHANGE_BATCH_MILLIS,
                isListedWhileChanging,
                !prefix.equals(StoreKeys.PREFIX),
                System.nanoTime());
        FollowReports reports =
                new FollowReports(EventLog::info, result -> metrics.controllerUpdate(prefix, result), onCurrent);
        FollowedPrefix followed = FollowedPrefix.start(
                store,
                prefix,
                inbox,
                reader -> new FollowDuty(
                        prefix, contents, follower, inbox, reader, controller, reports, System::nanoTime));
        controller.follow(prefix, inbox);
        metrics.registerViewAge(prefix, followed::ageMillis);
        return followed;
    }

    private void answerReadiness(Context context) {
        boolean isReady = readiness.isReady();
        context.getResponse().status(isReady ? HttpStatusCodes.OK : HttpStatusCodes.SERVICE_UNAVAILABLE);
        ReplyBody.send(context, (isReady ? "ready" : "not ready").getBytes(StandardCharsets.UTF_8));
    }

    private void answerMetrics(Context context) {
        context.getResponse().contentType(METRICS_TYPE);
        ReplyBody.send(context, metrics.exposition());
    }

    /** Stops serving: releases the control of the keys first, accepts no new requests and lets those in flight end. */
    private void stop(LeaseDuty lease) throws InterruptedException {
        long startNanos = System.nanoTime();
        EventLog.info("stopping", "openRequests=" + exchanges.size() + " connections=" + connections.size());
        readiness.markStopping();
        connections.startClosing();
        lease.stop();
        StopSchedule schedule = settings.stop();
        boolean isGivenUp = false;
        boolean isDone = false;
        while (!isDone) {
            Thread.sleep(STOP_CHECK_MILLIS);
            long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000L;
            if (elapsedMillis >= BALANCER_GRACE_MILLIS) {
                connections.startRejecting();
                connections.closeIdle();
            }
            if (elapsedMillis >= schedule.giveUpBlockingMillis()) {
                connections.giveUpBlocking();
            }
            if (elapsedMillis >= schedule.giveUpAllMillis() && !isGivenUp) {
                isGivenUp = servingEvents.offer(new ServingEvent.StopDue());
            }
            isDone = elapsedMillis >= schedule.endMillis()
                    || (elapsedMillis > BALANCER_GRACE_MILLIS + STOP_CHECK_MILLIS
                            && exchanges.size() == 0
                            && connections.size() == 0);
        }
        EventLog.info("stopped", "openRequests=" + exchanges.size() + " connections=" + connections.size());
    }

    private void offerLosses(LossRecord record) {
        if (!losses.offer(record)) {
            metrics.ringFull(losses.name());
        }
    }

    /** Tells the decisions that the configuration was complete at {@code nanos}, unless their ring is full. */
    private void offerConfirmation(long nanos) {
        if (!servingEvents.offer(new ServingEvent.ConfigurationConfirmed(nanos))) {
            metrics.ringFull(servingEvents.name());
        }
    }

    /**
     * Adds {@code event} unless the ring is full. The reader of the ring waits for the lock of the controller link, so
     * the link must not wait for the reader; what it reports is repeated, or only lets the controller act sooner.
     */
    private void offerKeyEvent(KeyEvent event) {
        if (!keyEvents.offer(event)) {
            metrics.ringFull(keyEvents.name());
        }
    }

    /**
     * Returns a consumer that adds to {@code ring} and blocks while it is full. The reader of the ring never waits for
     * the threads that add to it, so this cannot deadlock.
     */
    private static <T> Consumer<T> blockingPut(Ring<T> ring) {
        return item -> {
            try {
                ring.put(item);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        };
    }
}
