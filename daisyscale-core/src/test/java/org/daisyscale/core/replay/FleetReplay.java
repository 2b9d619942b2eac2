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
import org.daisyscale.core.keys.KeyEvent;
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
    private static final long REGISTRATION_VALID_NANOS = 60_000_000_000L;
    private static final long REGISTRATION_PERIOD_MILLIS = 1_000;
    private static final String SERVICE = "stock";
    private static final String HOME = "dc-1";

    private final Timeline time = new Timeline();
    private final UniformRandomProvider random;
    private final List<RequestRouter> routers = new ArrayList<>();
    private final Map<String, ReplayedServer> serverById = new HashMap<>();
    private final Map<String, ReplayedServer> serverByHost = new HashMap<>();
    private final Map<Long, Caller> callerById = new HashMap<>();
    private final Map<String, Integer> attemptsByServer = new HashMap<>();
    private final ReplayResult result = new ReplayResult();
    private final ReplayedControl control;
    private final boolean isSharded;
    private final Set<String> evacuated = new HashSet<>();
    private long nextRequestId;

    FleetReplay(long seed, int routerCount, double[] speeds, boolean isSharded) {
        this(seed, routerCount, speeds, isSharded, List.of(HOME));
    }

    /** Creates a fleet whose servers are in {@code dataCentres} by turns. */
    FleetReplay(long seed, int routerCount, double[] speeds, boolean isSharded, List<String> dataCentres) {
        this.random = RandomSource.SPLIT_MIX_64.create(seed);
        this.isSharded = isSharded;
        this.control = new ReplayedControl(
                time, random, serverByHost, result, map -> broadcast(new ServingEvent.KeyMapChanged(map)));
        Set<String> routerIds = new HashSet<>();
        for (int index = 0; index < routerCount; index++) {
            routerIds.add("router-" + index);
            routers.add(RequestRouter.create(
                    new ServingSettings("router-" + index, HOME, seed + index, 1.5, 5, 0.2, 60, 10_000, 2_000, 5_000)));
        }
        broadcast(new ServingEvent.RoutersChanged(routerIds));
        renewRegistrations();
        broadcast(new ServingEvent.TableChanged(table()));
        broadcastEvacuations();
        for (int index = 0; index < speeds.length; index++) {
            join("server-" + (10 + index), speeds[index], 0, dataCentres.get(index % dataCentres.size()));
        }
        changeNoise();
        if (isSharded) {
            control.start();
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
        return join(id, speed, coldMillis, HOME);
    }

    private ReplayedServer join(String id, double speed, long coldMillis, String dataCentre) {
        String host = "10.0.0." + (serverByHost.size() + 1);
        BackendServer registration = registration(id, host, coldMillis, dataCentre);
        ReplayedServer server = new ReplayedServer(time, registration, isSharded, speed);
        serverById.put(id, server);
        serverByHost.put(host, server);
        broadcast(new ServingEvent.ServerChanged(registration));
        return server;
    }

    private BackendServer registration(String id, String host, long coldMillis, String dataCentre) {
        return new BackendServer(id, (long) time.nowMillis(), SERVICE, host, 80, dataCentre, 3, false, coldMillis);
    }

    /**
     * Ends the server's process and starts another at its address after {@code downMillis}, as {@code newId}, which is
     * registered {@code registrationDelayMillis} later.
     */
    void restart(String serverId, String newId, double downMillis, double registrationDelayMillis) {
        ReplayedServer server = serverById.get(serverId);
        server.crash();
        time.after(downMillis, () -> {
            BackendServer before = server.registration();
            BackendServer registration = registration(newId, before.host(), 0, before.dataCentre());
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
        return control.grants();
    }

    ReplayedControl control() {
        return control;
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
            control.handle(new KeyEvent.FleetChanged(event));
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
            time.after(NETWORK_DELAY_MILLIS, () -> control.handle(new KeyEvent.LoadReported(report.load())));
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

    /**
     * Replaces the controller by one that knows the configuration, the registered servers and the stored map only; it
     * gets the lease at the next renewal.
     */
    void replaceController() {
        replaceController(0);
    }

    /** Replaces the controller by one that hears of the evacuations {@code evacuationsDelayMillis} after all else. */
    void replaceController(double evacuationsDelayMillis) {
        List<ServingEvent> known = new ArrayList<>(List.of(new ServingEvent.TableChanged(table())));
        serverById.values().stream()
                .filter(server -> !server.isDown())
                .forEach(server -> known.add(new ServingEvent.ServerChanged(server.registration())));
        control.replaceController(known, this::evacuations, evacuationsDelayMillis);
    }

    private ServingEvent evacuations() {
        return new ServingEvent.EvacuationsChanged(Set.copyOf(evacuated));
    }

    private void broadcastEvacuations() {
        broadcast(evacuations());
    }

    /** Evacuates the data centre. */
    void evacuate(String dataCentre) {
        evacuated.add(dataCentre);
        broadcastEvacuations();
    }

    /** Ends the evacuation of the data centre. */
    void takeBack(String dataCentre) {
        evacuated.remove(dataCentre);
        broadcastEvacuations();
    }

    /** Returns how many ranges of the stored map have an owner in the data centre. */
    long rangesOwnedIn(String dataCentre) {
        return control.stored().assignments().stream()
                .map(assignment -> serverByHost.get(assignment.owner().host()))
                .filter(server -> server.registration().dataCentre().equals(dataCentre))
                .count();
    }

    /** Returns whether a server of the data centre holds any key. */
    boolean holdsKeysIn(String dataCentre) {
        return serverByHost.values().stream()
                .filter(server -> server.registration().dataCentre().equals(dataCentre))
                .anyMatch(server -> server.holdsAny(0, KeyMap.KEY_COUNT - 1));
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

    private record Caller(String path, double startMillis, int key, double workMillis, boolean mayRetry) {

        private Caller forRetry() {
            return new Caller(path, startMillis, key, workMillis, false);
        }
    }
}
