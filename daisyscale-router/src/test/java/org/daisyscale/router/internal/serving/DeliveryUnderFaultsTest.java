package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.daisyscale.router.internal.serving.FollowingRouters.await;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.stream.LongStream;
import org.daisyscale.core.following.ViewVersion;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;
import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.core.serving.RoutingTable;
import org.daisyscale.router.internal.duty.DutyThread;
import org.daisyscale.router.internal.log.EventLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Four routers follow a controller that is replaced by one that skipped versions, while connections are cut and
 * renewed and the former controller goes on reporting. Most of the followers never reach the store.
 */
class DeliveryUnderFaultsTest {
    private static final int CHANGE_COUNT = 33;
    private static final int SERVER_COUNT = 6;
    private static final int MAX_CHANGED_ROUTES = 20;
    private static final long CHECK_MILLIS = 5;
    private static final long MIN_CUT_MILLIS = 100;
    /** Shorter than the time after which a router that hears no controller reads the store. */
    private static final long MAX_CUT_MILLIS = 900;

    private final SharedStore store = new SharedStore(FollowingRouters.LONG_WATCH_MILLIS);
    private final FollowingRouters routers = new FollowingRouters();
    private final Map<Long, String> configurationByVersion = new TreeMap<>();
    private final Map<String, Long> revisionByServer = new TreeMap<>();
    private FollowingRouter keyController;
    private long keyMapVersion = 1;
    private FollowingRouter former;
    private FollowingRouter next;
    private List<FollowingRouter> others;
    private PendingChanges pending;

    @AfterEach
    void closeRouters() {
        routers.close();
    }

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("delivery.seeds", 2));
    }

    private void openRouters(boolean isLastReachingTheStore) throws IOException {
        SharedStore unreachable = new SharedStore(FollowingRouters.SHORT_WATCH_MILLIS);
        unreachable.setReachable(false);
        former = routers.open("r1", store, FollowingRouters.BATCH_MILLIS);
        next = routers.open("r2", store, FollowingRouters.BATCH_MILLIS);
        others = List.of(
                routers.open("r3", unreachable, FollowingRouters.BATCH_MILLIS),
                routers.open("r4", unreachable, FollowingRouters.BATCH_MILLIS),
                routers.open("r5", isLastReachingTheStore ? store : unreachable, FollowingRouters.BATCH_MILLIS));
        keyController = former;
        pending = new PendingChanges(routers.all());
    }

    private void startRouters() throws InterruptedException {
        FollowingRouter.connect(former, routers.all().toArray(FollowingRouter[]::new));
        routers.all().forEach(FollowingRouter::startServers);
        routers.all().forEach(FollowingRouter::startOperators);
        await(() -> routers.all().stream().allMatch(router -> router.version() == 1));
        routers.all().forEach(pending::markConnected);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void shouldKnowEachChangeInTimeAndNeverGoBack(long seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        openRouters(random.nextBoolean());
        writeConfiguration(random);
        startRouters();
        SplittableRandom faultRandom = random.split();

        CompletableFuture<Void> faults = CompletableFuture.runAsync(() -> run(() -> disturb(faultRandom)));
        for (int count = 0; count < CHANGE_COUNT; count++) {
            writeChange(random);
            checkFor(FollowingRouters.CHANGE_INTERVAL_MILLIS);
        }
        awaitEndOf(faults);
        checkFor(FollowingRouters.LIMIT_MILLIS);

        EventLog.info(
                "delivery-measured",
                "seed=%d maxLateMillis=%d latest=%s".formatted(seed, pending.maxLateMillis(), pending.latest()));
        assertThat(pending.isEmpty()).isTrue();
        assertThat(routers.all()).allSatisfy(this::assertAtTheEnd);
    }

    private void awaitEndOf(CompletableFuture<Void> faults) throws InterruptedException, ExecutionException {
        while (!faults.isDone()) {
            checkFor(CHECK_MILLIS);
        }
        faults.get();
    }

    private static void run(DutyThread.Step step) {
        try {
            step.run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void checkFor(long millis) throws InterruptedException {
        long endNanos = System.nanoTime() + millis * 1_000_000L;
        while (System.nanoTime() - endNanos < 0) {
            pending.check();
            Thread.sleep(CHECK_MILLIS);
        }
    }

    private void writeChange(SplittableRandom random) {
        switch (random.nextInt(6)) {
            case 0 -> writeServer("servers/s" + random.nextInt(SERVER_COUNT));
            case 1 -> removeServer("servers/s" + random.nextInt(SERVER_COUNT));
            case 2 -> changeEvacuation("dc" + random.nextInt(2), random.nextBoolean());
            case 3 -> publishKeyMap();
            default -> writeConfiguration(random);
        }
    }

    private void writeConfiguration(SplittableRandom random) {
        long version = configurationByVersion.size() + 1L;
        String configuration = FollowingRouter.configuration(version, 1 + random.nextInt(MAX_CHANGED_ROUTES));
        configurationByVersion.put(version, configuration);
        store.put("op/config", configuration);
        pending.add("version " + version, "version " + version, router -> router.version() >= version);
    }

    private void writeServer(String server) {
        long revision = store.put(server, "");
        revisionByServer.put(server, revision);
        pending.add(
                server,
                server + " at " + revision,
                router -> router.revisionByServer().getOrDefault(server, 0L) == revision);
    }

    /** Publishes the next key map, also before the router that controls the keys knows itself as the controller. */
    private synchronized void publishKeyMap() {
        keyMapVersion++;
        long version = keyMapVersion;
        keyController.link().publish(keyMap(version));
        pending.add("key map", "key map " + version, router -> router.keyMapVersion() >= version);
    }

    /** Lets the next controller publish what it reads in the store when it takes control of the keys. */
    private synchronized void passKeysOn() {
        keyController = next;
        next.link().publish(keyMap(keyMapVersion));
    }

    private static KeyMap keyMap(long version) {
        Owner owner = new Owner("s1", 1, "10.0.0.1", 80);
        KeyAssignment changed = KeyAssignment.first(0, 9, owner, version);
        KeyAssignment rest = KeyAssignment.first(10, KeyMap.KEY_COUNT - 1, owner, 1);
        return new KeyMap("s", version, 0, version + 1, List.of(changed, rest));
    }

    private void removeServer(String server) {
        if (revisionByServer.remove(server) != null) {
            store.remove(server);
            pending.add(
                    server,
                    "the removal of " + server,
                    router -> !router.revisionByServer().containsKey(server));
        }
    }

    private void changeEvacuation(String dataCentre, boolean isEvacuated) {
        String key = "op/evacuate/" + dataCentre;
        if (isEvacuated) {
            store.put(key, "");
        } else {
            store.remove(key);
        }
        pending.add(
                key,
                key + " " + isEvacuated,
                router -> router.evacuatedDataCentres().contains(dataCentre) == isEvacuated);
    }

    /** Cuts connections, replaces the controller by one that was cut off itself, and cuts connections again. */
    private void disturb(SplittableRandom random) throws InterruptedException {
        cutSome(former, random);
        cut(former, List.of(next), MIN_CUT_MILLIS + random.nextLong(MAX_CUT_MILLIS - MIN_CUT_MILLIS), false);
        replaceController(random);
        cutSome(next, random);
        cutSome(next, random);
    }

    private void cutSome(FollowingRouter controller, SplittableRandom random) throws InterruptedException {
        List<FollowingRouter> cutRouters =
                others.stream().filter(router -> random.nextBoolean()).toList();
        cut(controller, cutRouters, MIN_CUT_MILLIS + random.nextLong(MAX_CUT_MILLIS - MIN_CUT_MILLIS), true);
    }

    private void cut(FollowingRouter controller, List<FollowingRouter> cutRouters, long millis, boolean isRenewed)
            throws InterruptedException {
        for (FollowingRouter router : cutRouters) {
            pending.markDisconnected(router);
            FollowingRouters.disconnect(controller, router);
        }
        Thread.sleep(millis);
        for (FollowingRouter router : isRenewed ? cutRouters : List.<FollowingRouter>of()) {
            FollowingRouters.reconnect(controller, router);
            pending.markConnected(router);
        }
    }

    /** Names the next controller to all but the former one, which goes on for a while. */
    private void replaceController(SplittableRandom random) throws InterruptedException {
        pending.markDisconnected(former);
        others.forEach(pending::markDisconnected);
        passKeysOn();
        Thread.sleep(random.nextLong(MAX_CUT_MILLIS));
        next.link().setController(next.entry());
        pending.markConnected(next);
        for (FollowingRouter router : others) {
            router.link().setController(next.entry());
        }
        for (FollowingRouter router : others) {
            await(router.link()::isReceivingKeyMaps);
            pending.markConnected(router);
        }
        reportAsFormer(random);
        former.link().setController(next.entry());
        await(former.link()::isReceivingKeyMaps);
        pending.markConnected(former);
    }

    private void reportAsFormer(SplittableRandom random) throws InterruptedException {
        for (int count = 0; count < 10; count++) {
            ViewVersion invented = new ViewVersion(random.nextLong(1_000), random.nextLong());
            for (FollowingRouter router : others) {
                String routerId = router.entry().routerId();
                former.link().send(routerId, new PeerMessage.ViewReport(FollowingRouter.OPERATORS, invented, 0));
                former.link().send(routerId, new PeerMessage.ViewReport(FollowingRouter.SERVERS, invented, 0));
                former.link().send(routerId, new PeerMessage.KeyMapUpdate(keyMap(1)));
            }
            former.link().send(next.entry().routerId(), new PeerMessage.KeyMapUpdate(keyMap(1)));
            Thread.sleep(MIN_CUT_MILLIS);
        }
    }

    private void assertAtTheEnd(FollowingRouter router) {
        List<Long> versions = new ArrayList<>();
        for (RoutingTable table : router.tables()) {
            versions.add(table.version());
            assertThat(table).isEqualTo(FollowingRouter.table(configurationByVersion.get(table.version())));
        }
        assertThat(versions).isSortedAccordingTo(Comparator.naturalOrder()).doesNotHaveDuplicates();
        assertThat(router.revisionsByServer().values())
                .allSatisfy(revisions -> assertThat(revisions)
                        .isSortedAccordingTo(Comparator.naturalOrder())
                        .doesNotHaveDuplicates());
        assertThat(router.revisionByServer()).isEqualTo(revisionByServer);
    }
}
