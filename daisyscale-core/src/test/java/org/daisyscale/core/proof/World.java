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

/** Joins routers, servers, platform, network, callers and operators of one run. One thread, one seed, virtual time. */
final class World implements FakePlatform.Listener {
    static final long PROMISED_MILLIS = 5_000;
    private static final int DATA_CENTRE_OUT_PROMISE = 4;
    private static final int LEAVING_PROMISE = 8;
    private static final long FORCE_MILLIS = 6_000;
    private static final long DISCONNECT_MILLIS = 1_000;
    private static final int LONGEST_LIST_LAG_MILLIS = 2_500;

    private final Agenda agenda = new Agenda();
    private final RenewalMode way;
    private final SplittableRandom random;
    private final Observer observer = new Observer(agenda);
    private final FakePlatform platform;
    private final FakeNetwork network;
    private final Operators operators;
    private final Map<String, FakeServer> servers = new TreeMap<>();
    private final Map<String, SimRouter> routers = new TreeMap<>();
    private final Map<String, Boolean> isLeaving = new TreeMap<>();
    private final List<Listing> listings = new ArrayList<>();
    private final Map<String, Integer> listLagMillis = new TreeMap<>();
    private boolean isRecording;
    private int routerCount;

    World(long seed) {
        this(seed, RenewalMode.WITNESS);
    }

    World(long seed, RenewalMode way) {
        this.way = way;
        this.random = new SplittableRandom(seed);
        this.platform = new FakePlatform(agenda, random.split(), observer, this);
        this.network = new FakeNetwork(agenda, random.split());
        this.operators = new Operators(this, random.split());
        platform.start(Site.firstConfiguration());
    }

    static DriftingClock randomClock(SplittableRandom random) {
        long offsetNanos = random.nextInt(1_000_000) * Agenda.MILLI;
        return new DriftingClock(offsetNanos, random.nextInt(11) - 5, random.nextInt(800) - 400);
    }

    void record() {
        isRecording = true;
    }

    void start(int routersPerDataCentre, int serversPerDataCentre) {
        for (String dataCentre : Site.DATA_CENTRES) {
            for (int i = 0; i < serversPerDataCentre; i++) {
                addServer(Site.CHECKED, dataCentre, i);
                addServer(Site.UNCHECKED, dataCentre, i);
                addServer(Site.POOLED, dataCentre, i);
            }
        }
        for (int i = 0; i < routersPerDataCentre; i++) {
            Site.DATA_CENTRES.forEach(this::addRouter);
        }
        relist();
    }

    private void addServer(String service, String dataCentre, int index) {
        String id = "%s-%s-%d".formatted(service, dataCentre, index);
        boolean checks = !service.equals(Site.UNCHECKED);
        servers.put(id, new FakeServer(agenda, observer, random.split(), id, service, dataCentre, checks));
    }

    SimRouter addRouter(String dataCentre) {
        routerCount++;
        String id = "router-%03d".formatted(routerCount);
        CoreSettings settings =
                new CoreSettings(id, dataCentre, routerCount, TimingSettings.defaults(), DispatchSettings.defaults());
        listLagMillis.put(
                id, routerCount <= Site.DATA_CENTRES.size() * 2 ? 0 : random.nextInt(LONGEST_LIST_LAG_MILLIS));
        SimRouter router = new SimRouter(this, settings, randomClock(random));
        routers.put(id, router);
        relist();
        return router;
    }

    RouterCore newCore(CoreSettings settings) {
        return new RouterCore(settings, way);
    }

    /** Lets the platform list the VMs as they are now; routers read it later. */
    void relist() {
        List<VmRecord> vms = new ArrayList<>();
        liveRouters().forEach(router -> vms.add(vm(router.id(), VmRole.ROUTER, "", router.dataCentre(), 7, 0)));
        servers.values()
                .forEach(server -> vms.add(vm(
                        server.id(),
                        VmRole.BACKEND_SERVER,
                        server.service(),
                        server.dataCentre(),
                        0,
                        FakeServer.SLOTS)));
        listings.add(new Listing(agenda.nowMillis(), vms));
    }

    private VmRecord vm(String id, VmRole role, String job, String dataCentre, int peerPort, int slots) {
        boolean leaves = isLeaving.getOrDefault(id, false);
        return new VmRecord(id, role, job, dataCentre, "127.0.0.1", 1, peerPort, leaves, slots, 100);
    }

    void leaving(String id, boolean leaves) {
        isLeaving.put(id, leaves);
        relist();
        expectWork();
    }

    List<VmRecord> vmList(SimRouter router) {
        long asOfMillis = agenda.nowMillis() - listLagMillis.getOrDefault(router.id(), 0);
        return listings.stream()
                .filter(listing -> listing.atMillis() <= Math.max(0, asOfMillis))
                .reduce((one, other) -> other)
                .map(Listing::vms)
                .orElse(List.of());
    }

    void routerGone(SimRouter gone) {
        relist();
        for (SimRouter peer : liveRouters()) {
            agenda.afterMillis(DISCONNECT_MILLIS, () -> peer.deliver(new Event.PeerDisconnected(gone.id())));
        }
    }

    void send(SimRouter from, String to, PeerMessage message) {
        SimRouter target = routers.get(to);
        if (target != null) {
            network.deliver(from.id(), to, () -> target.deliver(new Event.PeerMessageReceived(from.id(), message)));
        }
    }

    /** Cuts or heals one direction; connections end at both sides after a while, and come back. */
    void cut(SimRouter from, SimRouter to, int change) {
        network.cut(from.id(), to.id(), change);
        double delayMillis = change > 0 ? DISCONNECT_MILLIS : network.delayMillis();
        agenda.afterMillis(delayMillis, () -> {
            boolean isCut = network.isCut(from.id(), to.id()) || network.isCut(to.id(), from.id());
            from.deliver(isCut ? new Event.PeerDisconnected(to.id()) : new Event.PeerConnected(to.id()));
            to.deliver(isCut ? new Event.PeerDisconnected(from.id()) : new Event.PeerConnected(from.id()));
        });
    }

    @Override
    public void mapWritten(OwnershipMap map) {
        watchers()
                .forEach(
                        router -> agenda.afterMillis(random.nextInt(40), () -> router.deliver(new Event.MapRead(map))));
    }

    private List<SimRouter> watchers() {
        return liveRouters().stream()
                .filter(router -> random.nextBoolean())
                .filter(router -> !network.isCut(router.id(), FakeNetwork.PLATFORM))
                .toList();
    }

    @Override
    public void configurationAccepted(Configuration configuration) {
        expectWork();
        watchers()
                .forEach(router -> agenda.afterMillis(
                        random.nextInt(40), () -> router.deliver(new Event.ConfigurationRead(configuration))));
        long acceptedMillis = agenda.nowMillis();
        agenda.afterMillis(FORCE_MILLIS, () -> checkInForce(configuration.revision(), acceptedMillis));
    }

    private void checkInForce(long revision, long acceptedMillis) {
        liveRouters().stream()
                .filter(router -> router.isUntroubledSince(acceptedMillis - DISCONNECT_MILLIS))
                .filter(router -> observer.revisionAt(router.id()) < revision)
                .forEach(router -> observer.violated(
                        10, "%s lacks revision %d of %d".formatted(router.id(), revision, acceptedMillis)));
    }

    private void expectWork() {
        Configuration configuration = platform.configuration();
        for (FakeServer server : servers.values()) {
            boolean isOut = configuration.dataCentresOut().contains(server.dataCentre());
            boolean isLeft =
                    configuration.serversDrained().contains(server.id()) || isLeaving.getOrDefault(server.id(), false);
            int promise = isOut ? DATA_CENTRE_OUT_PROMISE : LEAVING_PROMISE;
            server.expectWork(!isOut && !isLeft, agenda.nowMillis() + PROMISED_MILLIS, promise);
        }
    }

    Agenda agenda() {
        return agenda;
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

    private record Listing(long atMillis, List<VmRecord> vms) {}
}
