package org.daisyscale.core.proof;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.daisyscale.core.CoreSettings;
import org.daisyscale.core.DispatchSettings;
import org.daisyscale.core.Event;
import org.daisyscale.core.RenewalMode;
import org.daisyscale.core.RouterCore;
import org.daisyscale.core.TimingSettings;
import org.daisyscale.core.document.Configuration;
import org.daisyscale.core.membership.VmRecord;
import org.daisyscale.core.membership.VmRole;
import org.daisyscale.core.ownership.OwnershipMap;
import org.daisyscale.core.peer.PeerMessage;

/**
 * Connects the routers, backend servers, platform, network and operators of one run in virtual time. All random draws
 * derive from one seed. Not thread-safe; confined to the thread of the run.
 */
final class World implements FakePlatform.Listener {
    static final long WORK_STOP_LIMIT_MILLIS = 5_000;
    private static final int DATA_CENTRE_OUT_PROMISE = 4;
    private static final int LEAVING_SERVER_PROMISE = 8;
    private static final long IN_FORCE_LIMIT_MILLIS = 6_000;
    private static final long DISCONNECT_DETECTION_MILLIS = 1_000;
    private static final int MAX_LIST_LAG_MILLIS = 2_500;

    private final VirtualScheduler scheduler = new VirtualScheduler();
    private final RenewalMode renewalMode;
    private final SplittableRandom random;
    private final Observer observer = new Observer(scheduler);
    private final FakePlatform platform;
    private final FakeNetwork network;
    private final Operators operators;
    private final Map<String, FakeServer> servers = new TreeMap<>();
    private final Map<String, SimRouter> routers = new TreeMap<>();
    private final Map<String, Boolean> leavingById = new TreeMap<>();
    private final List<VmListSnapshot> vmListSnapshots = new ArrayList<>();
    private final Map<String, Integer> listLagMillis = new TreeMap<>();
    private boolean isRecording;
    private int routerCount;

    World(long seed) {
        this(seed, RenewalMode.WITNESS);
    }

    World(long seed, RenewalMode renewalMode) {
        this.renewalMode = renewalMode;
        this.random = new SplittableRandom(seed);
        this.platform = new FakePlatform(scheduler, random.split(), observer, this);
        this.network = new FakeNetwork(scheduler, random.split());
        this.operators = new Operators(this, random.split());
        platform.initialize(ProofEnvironment.initialConfiguration());
    }

    static DriftingClock randomClock(SplittableRandom random) {
        long offsetNanos = random.nextInt(1_000_000) * VirtualScheduler.NANOS_PER_MILLI;
        return new DriftingClock(offsetNanos, random.nextInt(11) - 5, random.nextInt(800) - 400);
    }

    void startRecording() {
        isRecording = true;
    }

    void start(int routersPerDataCentre, int serversPerDataCentre) {
        for (String dataCentre : ProofEnvironment.DATA_CENTRES) {
            for (int i = 0; i < serversPerDataCentre; i++) {
                addServer(ProofEnvironment.CHECKED_SERVICE, dataCentre, i);
                addServer(ProofEnvironment.UNCHECKED_SERVICE, dataCentre, i);
                addServer(ProofEnvironment.POOLED_SERVICE, dataCentre, i);
            }
        }
        for (int i = 0; i < routersPerDataCentre; i++) {
            ProofEnvironment.DATA_CENTRES.forEach(this::addRouter);
        }
        publishVmList();
    }

    private void addServer(String service, String dataCentre, int index) {
        String id = "%s-%s-%d".formatted(service, dataCentre, index);
        boolean checksOrders = !service.equals(ProofEnvironment.UNCHECKED_SERVICE);
        servers.put(id, new FakeServer(scheduler, observer, random.split(), id, service, dataCentre, checksOrders));
    }

    SimRouter addRouter(String dataCentre) {
        routerCount++;
        String id = "router-%03d".formatted(routerCount);
        CoreSettings settings =
                new CoreSettings(id, dataCentre, routerCount, TimingSettings.defaults(), DispatchSettings.defaults());
        listLagMillis.put(
                id, routerCount <= ProofEnvironment.DATA_CENTRES.size() * 2 ? 0 : random.nextInt(MAX_LIST_LAG_MILLIS));
        SimRouter router = new SimRouter(this, settings, randomClock(random));
        routers.put(id, router);
        publishVmList();
        return router;
    }

    RouterCore newCore(CoreSettings settings) {
        return new RouterCore(settings, renewalMode);
    }

    /** Publishes the current VMs as a new snapshot of the VM list; a router may read it with a lag. */
    void publishVmList() {
        List<VmRecord> vms = new ArrayList<>();
        liveRouters().forEach(router -> vms.add(vmRecord(router.id(), VmRole.ROUTER, "", router.dataCentre(), 7, 0)));
        servers.values()
                .forEach(server -> vms.add(vmRecord(
                        server.id(),
                        VmRole.BACKEND_SERVER,
                        server.service(),
                        server.dataCentre(),
                        0,
                        FakeServer.SLOTS)));
        vmListSnapshots.add(new VmListSnapshot(scheduler.nowMillis(), vms));
    }

    private VmRecord vmRecord(String id, VmRole role, String job, String dataCentre, int peerPort, int slots) {
        boolean isLeaving = leavingById.getOrDefault(id, false);
        return new VmRecord(id, role, job, dataCentre, "127.0.0.1", 1, peerPort, isLeaving, slots, 100);
    }

    void setLeaving(String id, boolean isLeaving) {
        leavingById.put(id, isLeaving);
        publishVmList();
        updateWorkExpectations();
    }

    List<VmRecord> vmList(SimRouter router) {
        long asOfMillis = scheduler.nowMillis() - listLagMillis.getOrDefault(router.id(), 0);
        return vmListSnapshots.stream()
                .filter(snapshot -> snapshot.atMillis() <= Math.max(0, asOfMillis))
                .reduce((earlier, later) -> later)
                .map(VmListSnapshot::vms)
                .orElse(List.of());
    }

    void handleRouterLoss(SimRouter lost) {
        publishVmList();
        for (SimRouter peer : liveRouters()) {
            scheduler.scheduleAfterMillis(
                    DISCONNECT_DETECTION_MILLIS, () -> peer.deliver(new Event.PeerDisconnected(lost.id())));
        }
    }

    void send(SimRouter from, String to, PeerMessage message) {
        SimRouter target = routers.get(to);
        if (target != null) {
            network.deliver(from.id(), to, () -> target.deliver(new Event.PeerMessageReceived(from.id(), message)));
        }
    }

    /**
     * Adds {@code delta} to the number of cuts of the link in one direction. Both routers learn after a delay whether
     * they are still connected.
     */
    void adjustCuts(SimRouter from, SimRouter to, int delta) {
        network.adjustCuts(from.id(), to.id(), delta);
        double delayMillis = delta > 0 ? DISCONNECT_DETECTION_MILLIS : network.delayMillis();
        scheduler.scheduleAfterMillis(delayMillis, () -> {
            boolean isCut = network.isCut(from.id(), to.id()) || network.isCut(to.id(), from.id());
            from.deliver(isCut ? new Event.PeerDisconnected(to.id()) : new Event.PeerConnected(to.id()));
            to.deliver(isCut ? new Event.PeerDisconnected(from.id()) : new Event.PeerConnected(from.id()));
        });
    }

    @Override
    public void mapWritten(OwnershipMap map) {
        watchers()
                .forEach(router -> scheduler.scheduleAfterMillis(
                        random.nextInt(40), () -> router.deliver(new Event.MapRead(map))));
    }

    private List<SimRouter> watchers() {
        return liveRouters().stream()
                .filter(router -> random.nextBoolean())
                .filter(router -> !network.isCut(router.id(), FakeNetwork.PLATFORM))
                .toList();
    }

    @Override
    public void configurationAccepted(Configuration configuration) {
        updateWorkExpectations();
        watchers()
                .forEach(router -> scheduler.scheduleAfterMillis(
                        random.nextInt(40), () -> router.deliver(new Event.ConfigurationRead(configuration))));
        long acceptedMillis = scheduler.nowMillis();
        scheduler.scheduleAfterMillis(
                IN_FORCE_LIMIT_MILLIS, () -> checkInForce(configuration.revision(), acceptedMillis));
    }

    private void checkInForce(long revision, long acceptedMillis) {
        liveRouters().stream()
                .filter(router -> router.isUndisturbedSince(acceptedMillis - DISCONNECT_DETECTION_MILLIS))
                .filter(router -> observer.revisionInForceAt(router.id()) < revision)
                .forEach(router -> observer.recordViolation(
                        10, "%s lacks revision %d of %d".formatted(router.id(), revision, acceptedMillis)));
    }

    private void updateWorkExpectations() {
        Configuration configuration = platform.configuration();
        for (FakeServer server : servers.values()) {
            boolean isOut = configuration.dataCentresOut().contains(server.dataCentre());
            boolean isLeaving = configuration.serversDrained().contains(server.id())
                    || leavingById.getOrDefault(server.id(), false);
            int promise = isOut ? DATA_CENTRE_OUT_PROMISE : LEAVING_SERVER_PROMISE;
            server.setWorkExpected(!isOut && !isLeaving, scheduler.nowMillis() + WORK_STOP_LIMIT_MILLIS, promise);
        }
    }

    VirtualScheduler scheduler() {
        return scheduler;
    }

    Observer observer() {
        return observer;
    }

    FakePlatform platform() {
        return platform;
    }

    FakeNetwork network() {
        return network;
    }

    Operators operators() {
        return operators;
    }

    SplittableRandom random() {
        return random;
    }

    boolean isRecording() {
        return isRecording;
    }

    FakeServer server(String id) {
        return servers.get(id);
    }

    List<FakeServer> servers() {
        return List.copyOf(servers.values());
    }

    SimRouter router(String id) {
        return routers.get(id);
    }

    List<SimRouter> liveRouters() {
        return routers.values().stream().filter(SimRouter::isLive).toList();
    }

    private record VmListSnapshot(long atMillis, List<VmRecord> vms) {}
}
