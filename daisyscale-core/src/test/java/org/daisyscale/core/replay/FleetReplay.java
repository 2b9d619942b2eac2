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
 * Replays a load against several routers and one service in simulated time: callers come back once after a refusal, as
 * its advice says. Used by one thread.
 */
final class FleetReplay {
    static final long OBJECTIVE_MILLIS = 400;
    static final long TIME_LEFT_MILLIS = 1_500;

    private static final double NOISY_SHARE = 0.2;
    private static final double NOISE = 3;
    private static final double NOISE_MILLIS = 400;
    private static final double WAY_MILLIS = 1.5;
    private static final double STORE_MILLIS = 6;
    private static final long LEASE_NANOS = 1_300_000_000L;
    private static final long LONG_NANOS = 60_000_000_000L;
    private static final long REGISTRATION_MILLIS = 1_000;
    private static final String SERVICE = "stock";

    private final Timeline time = new Timeline();
    private final UniformRandomProvider random;
    private final List<RequestRouter> routers = new ArrayList<>();
    private final Map<String, ReplayedServer> serverById = new HashMap<>();
    private final Map<String, ReplayedServer> serverByHost = new HashMap<>();
    private final FenceHistory fences = new FenceHistory();
    private final Map<Long, Caller> callerById = new HashMap<>();
    private final Map<String, Integer> sentToCold = new HashMap<>();
    private final Set<String> cutServers = new HashSet<>();
    private KeyController controller = KeyController.create(new KeySettings(10_000));
    private long leaseUntilNanos;
    private final ReplayResult result = new ReplayResult();
    private final boolean isSharded;
    private KeyMap stored;
    private long revision;
    private long nextRequestId;

    FleetReplay(long seed, int routerCount, double[] speeds, boolean isSharded) {
        this.random = RandomSource.SPLIT_MIX_64.create(seed);
        this.isSharded = isSharded;
        Set<String> routerIds = new HashSet<>();
        for (int index = 0; index < routerCount; index++) {
            routerIds.add("router-" + index);
            routers.add(RequestRouter.create(new ServingSettings(
                    "router-" + index, "dc-1", seed + index, 1.5, 5, 0.2, 60, 10_000, 2_000, 5_000)));
        }
        tellAll(new ServingEvent.RoutersChanged(routerIds));
        renewRegistrations();
        tellAll(new ServingEvent.TableChanged(table()));
        for (int index = 0; index < speeds.length; index++) {
            join("server-" + (10 + index), speeds[index], 0);
        }
        changeNoise();
        if (isSharded) {
            renewLease();
            pollController();
        }
    }

    /** All routers know of each other, for longer than the replay has run. */
    private void renewRegistrations() {
        tellAll(new ServingEvent.RegistrationRenewed(time.nowNanos() - LONG_NANOS, time.nowNanos() + LONG_NANOS));
        tellAll(new ServingEvent.RoutersConfirmed());
        time.after(REGISTRATION_MILLIS, this::renewRegistrations);
    }

    /** A fifth of the servers is slowed down by its neighbours at any time, each time others. */
    private void changeNoise() {
        serverById.values().forEach(server -> server.noise(random.nextDouble() < NOISY_SHARE ? NOISE : 1));
        time.after(NOISE_MILLIS, this::changeNoise);
    }

    private RoutingTable table() {
        Route route = new Route(
                "r", "h", "/", true, 800, OBJECTIVE_MILLIS, 1, 2, List.of(new Route.WeightedService(SERVICE, 1)));
        ServiceRules rules = new ServiceRules(SERVICE, 120, 3_000, 7, isSharded, 5_000);
        return new RoutingTable(1, List.of(route), Map.of(SERVICE, rules), new RequestLimits(1, 1, 1, 1));
    }

    /** A server registers itself, cold for {@code coldMillis}. */
    ReplayedServer join(String id, double speed, long coldMillis) {
        String host = "10.0.0." + (serverByHost.size() + 1);
        BackendServer registration = registration(id, host, coldMillis);
        ReplayedServer server = new ReplayedServer(time, registration, isSharded, speed);
        serverById.put(id, server);
        serverByHost.put(host, server);
        tellAll(new ServingEvent.ServerChanged(registration));
        return server;
    }

    private BackendServer registration(String id, String host, long coldMillis) {
        return new BackendServer(id, (long) time.nowMillis(), SERVICE, host, 80, "dc-1", 3, false, coldMillis);
    }

    /**
     * The server's process ends and another starts at its address after {@code downMillis}, as {@code newId}; it is
     * registered {@code newsMillis} later.
     */
    void restart(String serverId, String newId, double downMillis, double newsMillis) {
        ReplayedServer server = serverById.get(serverId);
        server.crash();
        time.after(downMillis, () -> {
            BackendServer registration =
                    registration(newId, server.registration().host(), 0);
            server.restart(registration);
            serverById.put(newId, server);
            time.after(newsMillis, () -> {
                if (!newId.equals(serverId)) {
                    tellAll(new ServingEvent.ServerRemoved(serverId));
                }
                tellAll(new ServingEvent.ServerChanged(registration));
            });
        });
    }

    Timeline time() {
        return time;
    }

    ReplayResult result() {
        return result;
    }

    ReplayedServer server(String id) {
        return serverById.get(id);
    }

    private void tellAll(ServingEvent event) {
        for (int router = 0; router < routers.size(); router++) {
            tell(router, event);
        }
        if (!(event instanceof ServingEvent.KeyMapChanged)) {
            controller(new KeyEvent.FleetChanged(event));
        }
    }

    private void tell(int router, ServingEvent event) {
        routers.get(router).handle(event, time.nowNanos()).forEach(action -> run(router, action));
        long dueNanos = routers.get(router).nextDueNanos();
        if (dueNanos != Long.MAX_VALUE && !(event instanceof ServingEvent.TimePassed)) {
            time.at(dueNanos, () -> tell(router, new ServingEvent.TimePassed()));
        } else if (dueNanos != Long.MAX_VALUE) {
            time.at(Math.max(dueNanos, time.nowNanos() + 1_000), () -> tell(router, new ServingEvent.TimePassed()));
        }
    }

    private void run(int router, ServingAction action) {
        if (action instanceof ServingAction.SendAttempt send) {
            Caller caller = callerById.get(send.requestId());
            time.after(WAY_MILLIS, () -> arrive(router, send, caller));
        } else if (action instanceof ServingAction.Deliver deliver) {
            Caller caller = callerById.remove(deliver.requestId());
            result.answered(time.nowMillis() - caller.startMillis());
        } else if (action instanceof ServingAction.Refuse refuse) {
            refused(callerById.remove(refuse.requestId()), refuse);
        } else if (action instanceof ServingAction.ReportKeyLoad report) {
            time.after(WAY_MILLIS, () -> controller(new KeyEvent.LoadReported(report.load())));
        }
    }

    private void arrive(int router, ServingAction.SendAttempt send, Caller caller) {
        ReplayedServer server = serverById.get(send.server().id());
        sentToCold.merge(server.registration().id(), 1, Integer::sum);
        if (!server.isDown() && !server.registration().id().equals(send.server().id())) {
            AttemptOutcome refusal = AttemptOutcome.REFUSED_NOT_OWNER;
            time.after(
                    WAY_MILLIS,
                    () -> tell(
                            router,
                            new ServingEvent.AttemptEnded(
                                    send.requestId(), send.attempt(), refusal, Optional.empty())));
            return;
        }
        server.arrive(
                caller.key(),
                caller.workMillis(),
                (outcome, load) -> time.after(
                        WAY_MILLIS,
                        () -> tell(
                                router,
                                new ServingEvent.AttemptEnded(send.requestId(), send.attempt(), outcome, load))));
    }

    private void refused(Caller caller, ServingAction.Refuse refuse) {
        double leftMillis = TIME_LEFT_MILLIS - (time.nowMillis() - caller.startMillis());
        boolean comesBack = caller.mayReturn() && refuse.retryAfterMillis() > 0;
        result.refusal(refuse.reason());
        if (comesBack) {
            double waitMillis = Math.min(refuse.retryAfterMillis(), leftMillis / 3);
            time.after(waitMillis, () -> ask(caller.returning()));
        } else {
            result.lost();
        }
    }

    private void ask(Caller caller) {
        long requestId = ++nextRequestId;
        callerById.put(requestId, caller);
        long leftMillis = (long) (TIME_LEFT_MILLIS - (time.nowMillis() - caller.startMillis()));
        int router = random.nextInt(routers.size());
        RequestHead head = new RequestHead("h", "/x", Math.max(1, leftMillis), caller.key(), 0, "");
        tell(router, new ServingEvent.RequestArrived(requestId, head, time.nowNanos()));
    }

    /** Callers ask {@code perSecond} times a second until {@code endMillis}, with keys of {@code keys}. */
    void load(double perSecond, double workMillis, double endMillis, IntSupplier keys) {
        time.after(-Math.log(1 - random.nextDouble()) * 1_000 / perSecond, () -> {
            if (time.nowMillis() < endMillis) {
                double work = workMillis * (0.7 + 0.6 * random.nextDouble());
                ask(new Caller(time.nowMillis(), keys.getAsInt(), work, true));
                load(perSecond, workMillis, endMillis, keys);
            }
        });
    }

    private void renewLease() {
        leaseUntilNanos = time.nowNanos() + LEASE_NANOS;
        controller(new KeyEvent.LeaseRenewed(leaseUntilNanos));
        time.after(400, this::renewLease);
    }

    /** The controller's calls to the server get no answer for {@code millis}, though some are taken. */
    void cutFromController(String serverId, double millis) {
        cutServers.add(serverId);
        time.after(millis, () -> cutServers.remove(serverId));
    }

    /** The controller dies; another takes over when the lease has ended, and knows only the store. */
    void loseController() {
        controller = KeyController.create(new KeySettings(10_000));
        tellTable();
        serverById.values().stream()
                .filter(server -> !server.isDown())
                .forEach(server ->
                        controller(new KeyEvent.FleetChanged(new ServingEvent.ServerChanged(server.registration()))));
    }

    /** The server is no longer registered. */
    void unregister(String serverId) {
        tellAll(new ServingEvent.ServerRemoved(serverId));
    }

    private void tellTable() {
        controller(new KeyEvent.FleetChanged(new ServingEvent.TableChanged(table())));
    }

    private void pollController() {
        controller(new KeyEvent.TimePassed());
        time.after(50, this::pollController);
    }

    private void controller(KeyEvent event) {
        controller.handle(event, time.nowNanos()).forEach(this::run);
    }

    private void run(KeyAction action) {
        if (action instanceof KeyAction.WriteMap write) {
            time.after(STORE_MILLIS, () -> written(write));
        } else if (action instanceof KeyAction.ReadMap read) {
            time.after(
                    STORE_MILLIS,
                    () -> controller(
                            stored == null
                                    ? new KeyEvent.MapAbsent(read.service())
                                    : new KeyEvent.MapRead(stored, revision)));
        } else if (action instanceof KeyAction.PublishMap publish) {
            time.after(WAY_MILLIS, () -> tellAll(new ServingEvent.KeyMapChanged(publish.map())));
        } else if (action instanceof KeyAction.SendGrant grant) {
            time.after(WAY_MILLIS, () -> grant(grant));
        } else if (action instanceof KeyAction.SendRelease release) {
            time.after(WAY_MILLIS, () -> release(release));
        }
    }

    private void written(KeyAction.WriteMap write) {
        result.moved(stored, write.map());
        stored = write.map();
        revision++;
        controller(new KeyEvent.MapWritten(stored, revision));
    }

    private void grant(KeyAction.SendGrant grant) {
        ReplayedServer server = serverByHost.get(grant.owner().host());
        boolean isCut = cutServers.contains(grant.owner().serverId());
        if (server.isDown() || (isCut && random.nextBoolean())) {
            controller(new KeyEvent.CallUnanswered(grant.callId(), !server.isDown()));
            return;
        }
        serverByHost.values().stream()
                .filter(other -> other != server && other.holdsAny(grant.firstKey(), grant.lastKey()))
                .forEach(other -> result.doubleOwner());
        String process = grant.owner().host() + '#' + server.life();
        if (grant.isRenewal() && !fences.isTakenBy(grant.fence(), process)) {
            controller(
                    random.nextBoolean()
                            ? new KeyEvent.ServerUnproved(grant.callId())
                            : new KeyEvent.CallUnanswered(grant.callId(), true));
            return;
        }
        if (!fences.isTaken(grant.firstKey(), grant.lastKey(), grant.fence(), process)) {
            result.reusedFence();
        }
        server.grant(grant.firstKey(), grant.lastKey(), grant.fence(), grant.holdMillis());
        time.after(
                WAY_MILLIS,
                () -> controller(
                        isCut
                                ? new KeyEvent.CallUnanswered(grant.callId(), true)
                                : new KeyEvent.GrantTaken(grant.callId())));
    }

    private void release(KeyAction.SendRelease release) {
        ReplayedServer server = serverByHost.get(release.owner().host());
        if (server.isDown() || cutServers.contains(release.owner().serverId())) {
            controller(new KeyEvent.CallUnanswered(release.callId(), !server.isDown()));
            return;
        }
        server.release(
                release.firstKey(),
                release.lastKey(),
                () -> time.after(WAY_MILLIS, () -> controller(new KeyEvent.Released(release.callId(), "h"))));
    }

    private record Caller(double startMillis, int key, double workMillis, boolean mayReturn) {

        private Caller returning() {
            return new Caller(startMillis, key, workMillis, false);
        }
    }
}
