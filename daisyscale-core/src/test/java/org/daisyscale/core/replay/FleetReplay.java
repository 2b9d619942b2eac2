package org.daisyscale.core.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.daisyscale.core.keys.KeyAction;
import org.daisyscale.core.keys.KeyController;
import org.daisyscale.core.keys.KeyEvent;
import org.daisyscale.core.keys.KeySettings;
import org.daisyscale.core.serving.AttemptOutcome;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.EventTime;
import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.core.serving.RequestHead;
import org.daisyscale.core.serving.RequestLimits;
import org.daisyscale.core.serving.RequestRouter;
import org.daisyscale.core.serving.Route;
import org.daisyscale.core.serving.RoutingTable;
import org.daisyscale.core.serving.ServiceRules;
import org.daisyscale.core.serving.ServingAction;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.core.serving.ServingSettings;

/**
 * Replays a load against several routers and one service in simulated time. Callers retry once after a rejection, after
 * the delay that the rejection advises. Not thread-safe.
 */
final class FleetReplay {
    static final long OBJECTIVE_MILLIS = 400;
    static final long CALLER_TIMEOUT_MILLIS = 1_500;

    static final String USUAL = "/x";
    /** The path of requests that are the most urgent. */
    static final String URGENT = "/urgent/";
    /** The path of the least urgent requests, which may take three times as long as others. */
    static final String PATIENT = "/patient/";

    private static final double NOISY_FRACTION = 0.2;
    private static final double NOISE_FACTOR = 3;
    private static final double NOISE_PERIOD_MILLIS = 400;
    private static final double NETWORK_DELAY_MILLIS = 1.5;
    private static final double STORE_DELAY_MILLIS = 6;
    private static final long LEASE_NANOS = 1_300_000_000L;
    private static final long REGISTRATION_VALID_NANOS = 60_000_000_000L;
    private static final long REGISTRATION_PERIOD_MILLIS = 1_000;
    private static final String SERVICE = "stock";

    private final Timeline time = new Timeline();
    private final UniformRandomProvider random;
    private final List<RequestRouter> routers = new ArrayList<>();
    private final Map<String, ReplayedServer> serverById = new HashMap<>();
    private final Map<String, ReplayedServer> serverByHost = new HashMap<>();
    private final Map<Long, Caller> callerById = new HashMap<>();
    private final Map<String, Integer> attemptsByServer = new HashMap<>();
    private KeyController controller = KeyController.create(new KeySettings(10_000));
    private long leaseUntilNanos;
    private final ReplayResult result = new ReplayResult();
    private final GrantNetwork grants;
    private final boolean isSharded;
    private KeyMap stored;
    private long revision;
    private long nextRequestId;

    FleetReplay(long seed, int routerCount, double[] speeds, boolean isSharded) {
        this.random = RandomSource.SPLIT_MIX_64.create(seed);
        this.isSharded = isSharded;
        this.grants = new GrantNetwork(time, random, serverByHost, result, this::handleByController);
        Set<String> routerIds = new HashSet<>();
        for (int index = 0; index < routerCount; index++) {
            routerIds.add("router-" + index);
            routers.add(RequestRouter.create(new ServingSettings(
                    "router-" + index, "dc-1", seed + index, 1.5, 5, 0.2, 60, 10_000, 2_000, 5_000)));
        }
        broadcast(new ServingEvent.RoutersChanged(routerIds));
        renewRegistrations();
        broadcast(new ServingEvent.EvacuationsChanged(Set.of()));
        broadcast(new ServingEvent.TableChanged(table()));
        broadcast(new ServingEvent.EvacuationsChanged(Set.of()));
        for (int index = 0; index < speeds.length; index++) {
            join("server-" + (10 + index), speeds[index], 0);
        }
        changeNoise();
        if (isSharded) {
            renewLease();
            pollController();
        }
    }

    /** Keeps all routers registered with each other, for longer than a replay runs. */
    private void renewRegistrations() {
        broadcast(new ServingEvent.RegistrationRenewed(
                time.nowNanos() - REGISTRATION_VALID_NANOS, time.nowNanos() + REGISTRATION_VALID_NANOS));
        broadcast(new ServingEvent.RoutersConfirmed(time.nowNanos()));
        time.after(REGISTRATION_PERIOD_MILLIS, this::renewRegistrations);
    }

    /** Slows down about a fifth of the servers, as other VMs on their machines would; picks others each period. */
    private void changeNoise() {
        serverById.values().forEach(server -> server.noise(random.nextDouble() < NOISY_FRACTION ? NOISE_FACTOR : 1));
        time.after(NOISE_PERIOD_MILLIS, this::changeNoise);
    }

    private RoutingTable table() {
        Route route = new Route(
                "r", "h", "/", true, 800, OBJECTIVE_MILLIS, 1, 2, List.of(new Route.WeightedService(SERVICE, 1)));
        Route urgent = new Route(
                "urgent",
                "h",
                URGENT,
                true,
                800,
                OBJECTIVE_MILLIS,
                0,
                2,
                List.of(new Route.WeightedService(SERVICE, 1)));
        Route patient = new Route(
                "patient", "h", PATIENT, true, 1_400, 1_200, 2, 2, List.of(new Route.WeightedService(SERVICE, 1)));
        ServiceRules rules = new ServiceRules(SERVICE, "/health", 120, 3_000, 7, isSharded, 5_000);
        return new RoutingTable(
                1, List.of(route, urgent, patient), Map.of(SERVICE, rules), new RequestLimits(1, 1, 1, 1));
    }

    /** Registers a new server that is cold for {@code coldMillis}. */
    ReplayedServer join(String id, double speed, long coldMillis) {
        String host = "10.0.0." + (serverByHost.size() + 1);
        BackendServer registration = registration(id, host, coldMillis);
        ReplayedServer server = new ReplayedServer(time, registration, isSharded, speed);
        serverById.put(id, server);
        serverByHost.put(host, server);
        broadcast(new ServingEvent.ServerChanged(registration));
        return server;
    }

    private BackendServer registration(String id, String host, long coldMillis) {
        return new BackendServer(id, (long) time.nowMillis(), SERVICE, host, 80, "dc-1", 3, false, coldMillis);
    }

    /**
     * Ends the server's process and starts another at its address after {@code downMillis}, as {@code newId}, which is
     * registered {@code registrationDelayMillis} later.
     */
    void restart(String serverId, String newId, double downMillis, double registrationDelayMillis) {
        ReplayedServer server = serverById.get(serverId);
        server.crash();
        time.after(downMillis, () -> {
            BackendServer registration =
                    registration(newId, server.registration().host(), 0);
            server.restart(registration);
            serverById.put(newId, server);
            time.after(registrationDelayMillis, () -> {
                if (!newId.equals(serverId)) {
                    broadcast(new ServingEvent.ServerRemoved(serverId));
                }
                broadcast(new ServingEvent.ServerChanged(registration));
            });
        });
    }

    Timeline time() {
        return time;
    }

    GrantNetwork grants() {
        return grants;
    }

    ReplayResult result() {
        return result;
    }

    ReplayedServer server(String id) {
        return serverById.get(id);
    }

    private void broadcast(ServingEvent event) {
        for (int router = 0; router < routers.size(); router++) {
            handle(router, event);
        }
        if (!(event instanceof ServingEvent.KeyMapChanged)) {
            handleByController(new KeyEvent.FleetChanged(event));
        }
    }

    private void handle(int router, ServingEvent event) {
        routers.get(router).handle(event, time.nowNanos()).forEach(action -> run(router, action));
        long dueNanos = routers.get(router).nextDueNanos();
        if (dueNanos != Long.MAX_VALUE && !(event instanceof ServingEvent.TimePassed)) {
            time.at(dueNanos, () -> handle(router, new ServingEvent.TimePassed()));
        } else if (dueNanos != Long.MAX_VALUE) {
            time.at(Math.max(dueNanos, time.nowNanos() + 1_000), () -> handle(router, new ServingEvent.TimePassed()));
        }
    }

    private void run(int router, ServingAction action) {
        if (action instanceof ServingAction.SendAttempt send) {
            Caller caller = callerById.get(send.requestId());
            time.after(NETWORK_DELAY_MILLIS, () -> arrive(router, send, caller));
        } else if (action instanceof ServingAction.Deliver deliver) {
            Caller caller = callerById.remove(deliver.requestId());
            result.recordAnswered(caller.path(), time.nowMillis() - caller.startMillis());
        } else if (action instanceof ServingAction.Reject rejection) {
            handleRejection(callerById.remove(rejection.requestId()), rejection);
        } else if (action instanceof ServingAction.ReportKeyLoad report) {
            time.after(NETWORK_DELAY_MILLIS, () -> handleByController(new KeyEvent.LoadReported(report.load())));
        }
    }

    private void arrive(int router, ServingAction.SendAttempt send, Caller caller) {
        ReplayedServer server = serverById.get(send.server().id());
        attemptsByServer.merge(server.registration().id(), 1, Integer::sum);
        if (!server.isDown() && !server.registration().id().equals(send.server().id())) {
            AttemptOutcome rejection = AttemptOutcome.REFUSED_NOT_OWNER;
            time.after(
                    NETWORK_DELAY_MILLIS,
                    () -> handle(
                            router,
                            new ServingEvent.AttemptEnded(
                                    send.requestId(), send.attempt(), rejection, Optional.empty())));
            return;
        }
        server.arrive(
                caller.key(),
                caller.workMillis(),
                (outcome, load) -> time.after(
                        NETWORK_DELAY_MILLIS,
                        () -> handle(
                                router,
                                new ServingEvent.AttemptEnded(send.requestId(), send.attempt(), outcome, load))));
    }

    private void handleRejection(Caller caller, ServingAction.Reject rejection) {
        double leftMillis = CALLER_TIMEOUT_MILLIS - (time.nowMillis() - caller.startMillis());
        boolean isRetried = caller.mayRetry() && rejection.retryAfterMillis() > 0;
        result.recordRejection(rejection.reason());
        if (isRetried) {
            double waitMillis = Math.min(rejection.retryAfterMillis(), leftMillis / 3);
            time.after(waitMillis, () -> sendRequest(caller.forRetry()));
        } else {
            result.recordLost(caller.path());
        }
    }

    private void sendRequest(Caller caller) {
        long requestId = ++nextRequestId;
        callerById.put(requestId, caller);
        long leftMillis = (long) (CALLER_TIMEOUT_MILLIS - (time.nowMillis() - caller.startMillis()));
        int router = random.nextInt(routers.size());
        RequestHead head = new RequestHead("h", caller.path(), Math.max(1, leftMillis), caller.key(), 0, "");
        handle(router, new ServingEvent.RequestArrived(requestId, head, time.nowNanos()));
    }

    /** Sends requests at the mean rate {@code perSecond} until {@code endMillis}, with keys from {@code keys}. */
    void generateLoad(double perSecond, double workMillis, double endMillis, IntSupplier keys) {
        generateLoad(USUAL, perSecond, workMillis, endMillis, keys);
    }

    /** Sends requests for {@code path} at the mean rate {@code perSecond} until {@code endMillis}. */
    void generateLoad(String path, double perSecond, double workMillis, double endMillis, IntSupplier keys) {
        time.after(-Math.log(1 - random.nextDouble()) * 1_000 / perSecond, () -> {
            if (time.nowMillis() < endMillis) {
                double work = workMillis * (0.7 + 0.6 * random.nextDouble());
                sendRequest(new Caller(path, time.nowMillis(), keys.getAsInt(), work, true));
                generateLoad(path, perSecond, workMillis, endMillis, keys);
            }
        });
    }

    private void renewLease() {
        leaseUntilNanos = time.nowNanos() + LEASE_NANOS;
        handleByController(new KeyEvent.LeaseRenewed(leaseUntilNanos));
        time.after(400, this::renewLease);
    }

    /**
     * Replaces the controller by one that knows the configuration, the registered servers and the stored map only; it
     * gets the lease at the next renewal.
     */
    void replaceController() {
        grants.dropOutstandingAnswers();
        controller = KeyController.create(new KeySettings(10_000));
        sendTable();
        handleByController(new KeyEvent.FleetChanged(new ServingEvent.EvacuationsChanged(Set.of())));
        serverById.values().stream()
                .filter(server -> !server.isDown())
                .forEach(server -> handleByController(
                        new KeyEvent.FleetChanged(new ServingEvent.ServerChanged(server.registration()))));
    }

    /** Deregisters the server. */
    void deregister(String serverId) {
        broadcast(new ServingEvent.ServerRemoved(serverId));
    }

    /** Registers the server as draining; it serves on. */
    void drain(String serverId) {
        BackendServer server = serverById.get(serverId).registration();
        broadcast(new ServingEvent.ServerChanged(
                new BackendServer(
                        server.id(),
                        server.bornEpochMillis(),
                        server.service(),
                        server.host(),
                        server.port(),
                        server.dataCentre(),
                        server.slots(),
                        true,
                        0),
                EventTime.notBefore(time.nowNanos())));
    }

    /** Registers the server as ready again. */
    void register(String serverId) {
        broadcast(new ServingEvent.ServerChanged(serverById.get(serverId).registration()));
    }

    private void sendTable() {
        handleByController(new KeyEvent.FleetChanged(new ServingEvent.EvacuationsChanged(Set.of())));
        handleByController(new KeyEvent.FleetChanged(new ServingEvent.TableChanged(table())));
    }

    private void pollController() {
        handleByController(new KeyEvent.TimePassed());
        time.after(50, this::pollController);
    }

    private void handleByController(KeyEvent event) {
        controller.handle(event, time.nowNanos()).forEach(this::run);
    }

    private void run(KeyAction action) {
        if (action instanceof KeyAction.WriteMap write) {
            KeyController writer = controller;
            time.after(STORE_DELAY_MILLIS, () -> completeWrite(write, writer));
        } else if (action instanceof KeyAction.ReadMap read) {
            time.after(
                    STORE_DELAY_MILLIS,
                    () -> handleByController(
                            stored == null
                                    ? new KeyEvent.MapAbsent(read.service())
                                    : new KeyEvent.MapRead(stored, revision)));
        } else if (action instanceof KeyAction.PublishMap publish) {
            time.after(NETWORK_DELAY_MILLIS, () -> broadcast(new ServingEvent.KeyMapChanged(publish.map())));
        } else if (action instanceof KeyAction.SendGrant grant) {
            grants.send(grant);
        } else if (action instanceof KeyAction.SendRelease release) {
            grants.send(release);
        }
    }

    /** Stores the map if the stored one is still at the expected revision; only its writer learns the outcome. */
    private void completeWrite(KeyAction.WriteMap write, KeyController writer) {
        boolean isAccepted = write.expectedRevision() == revision;
        if (isAccepted) {
            result.recordMoves(stored, write.map());
            stored = write.map();
            revision++;
        }
        if (writer != controller) {
            return;
        }
        if (isAccepted) {
            handleByController(new KeyEvent.MapWritten(stored, revision));
        } else {
            handleByController(new KeyEvent.MapWriteFailed(SERVICE));
            handleByController(new KeyEvent.MapRead(stored, revision));
        }
    }

    private record Caller(String path, double startMillis, int key, double workMillis, boolean mayRetry) {

        private Caller forRetry() {
            return new Caller(path, startMillis, key, workMillis, false);
        }
    }
}
