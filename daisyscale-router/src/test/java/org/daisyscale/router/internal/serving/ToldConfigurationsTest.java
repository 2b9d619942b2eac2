package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.daisyscale.router.internal.serving.FollowingRouters.await;
import static org.daisyscale.router.internal.serving.FollowingRouters.holdsInTime;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.daisyscale.codec.peer.HandshakeCodec;
import org.daisyscale.codec.peer.HandshakeMessage;
import org.daisyscale.codec.peer.PeerCodec;
import org.daisyscale.core.following.ViewFollower;
import org.daisyscale.router.internal.duty.DutyThread;
import org.daisyscale.router.internal.following.FollowEvent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * What operators wrote and the controller read must be known within 2,000 ms at each connected router, also when the
 * message about it was lost and while other versions follow.
 */
class ToldConfigurationsTest {
    private static final String CONFIGURATION = "op/config";
    private static final String EVACUATION = "op/evacuate/dc1";

    private final SharedStore store = new SharedStore(FollowingRouters.SHORT_WATCH_MILLIS);
    private final FollowingRouters routers = new FollowingRouters();

    @AfterEach
    void closeRouters() {
        routers.close();
    }

    /** Returns a router that has read the store, and reads it no more until a step or its thread runs. */
    private FollowingRouter openListed(String routerId) throws IOException, InterruptedException {
        FollowingRouter router = routers.open(routerId, store);
        router.readOperators();
        return router;
    }

    /** Returns a router that has read version 1, and later knows only what it is told. */
    private FollowingRouter openWithoutStore(String routerId) throws IOException, InterruptedException {
        SharedStore ownStore = new SharedStore(FollowingRouters.SHORT_WATCH_MILLIS);
        ownStore.put(CONFIGURATION, FollowingRouter.configuration(1, 1));
        FollowingRouter router = routers.open(routerId, ownStore);
        router.readOperators();
        ownStore.setReachable(false);
        return router;
    }

    private long writeVersion(long version, int changedRoutes) {
        return store.put(CONFIGURATION, FollowingRouter.configuration(version, changedRoutes));
    }

    /** Writes the version after the one that {@code controller} knows, and lets it read that. */
    private void passToNextVersion(FollowingRouter controller, int changedRoutes) throws InterruptedException {
        writeVersion(controller.version() + 1, changedRoutes);
        controller.readOperators();
    }

    private void passToNextVersionAndPause(FollowingRouter controller, int changedRoutes) throws InterruptedException {
        passToNextVersion(controller, changedRoutes);
        Thread.sleep(FollowingRouters.CHANGE_INTERVAL_MILLIS);
    }

    /** Lets {@code listener} follow what {@code controller} tells from now on. */
    private static void follow(FollowingRouter listener, FollowingRouter controller) throws InterruptedException {
        awaitTold(listener, controller);
        listener.startOperators();
    }

    /** Waits until {@code listener} has heard {@code controller} and has said what it holds. */
    private static void awaitTold(FollowingRouter listener, FollowingRouter controller) throws InterruptedException {
        await(listener::areOperatorsTold, () -> {
            controller.readOperators();
            listener.operators().runStepWithoutStore();
        });
    }

    /** Guards against an update that is never told because it was read before the reader was the controller. */
    @Test
    void shouldTellAVersionThatItReadBeforeItKnewItselfAsController() throws Exception {
        writeVersion(1, 1);
        FollowingRouter controller = openListed("r1");
        FollowingRouter listener = openWithoutStore("r2");
        passToNextVersion(controller, 1);

        FollowingRouter.connect(controller, controller, listener);
        await(listener.link()::isReceivingKeyMaps);
        listener.startOperators();

        assertThat(holdsInTime(() -> listener.version() == 2, controller::readOperators))
                .isTrue();
    }

    /** Guards against an update that is taken for one that was received although control was taken anew since. */
    @Test
    void shouldTellALostUpdateAgainAfterItTookTheControlAnew() throws Exception {
        writeVersion(1, 1);
        FollowingRouter controller = openListed("r1");
        FollowingRouter listener = openWithoutStore("r2");
        FollowingRouter.connect(controller, controller, listener);
        awaitTold(listener, controller);
        passToNextVersion(controller, 1);
        loseNextUpdate(controller, listener);

        controller.link().setController(controller.entry());
        listener.startOperators();

        assertThat(holdsInTime(() -> listener.version() == 2, controller::readOperators))
                .as("version 2 is known within 2,000 ms; known is version %d", listener.version())
                .isTrue();
    }

    /** Lets the next update that {@code controller} sends to {@code listener} be lost. */
    private static void loseNextUpdate(FollowingRouter controller, FollowingRouter listener)
            throws InterruptedException {
        List<FollowEvent> lost = new ArrayList<>();
        await(() -> lost.stream().anyMatch(FollowEvent.Updated.class::isInstance), () -> {
            controller.readOperators();
            lost.addAll(listener.operators().removeEvents());
        });
    }

    /** Guards against a router that connects after an update and waits for the next one. */
    @Test
    void shouldTellTheNewestVersionToARouterThatConnectsAfterIt() throws Exception {
        writeVersion(1, 1);
        FollowingRouter controller = openListed("r1");
        FollowingRouter listener = openWithoutStore("r2");
        FollowingRouter.connect(controller, controller, listener);
        follow(listener, controller);
        FollowingRouters.disconnect(controller, listener);
        passToNextVersion(controller, 1);
        passToNextVersion(controller, 1);

        FollowingRouters.reconnect(controller, listener);

        assertThat(holdsInTime(() -> listener.version() == 3, controller::readOperators))
                .isTrue();
    }

    /** Guards against a router that keeps an old version because the newest update lacks the changes before. */
    @Test
    void shouldKnowAVersionOfWhichTheNewestUpdateHasOnlyTheLastChange() throws Exception {
        int changedRoutes = 13;
        writeVersion(1, changedRoutes);
        FollowingRouter controller = openListed("r1");
        FollowingRouter listener = openListed("r2");
        FollowingRouter.connect(controller, controller, listener);
        follow(listener, controller);
        FollowingRouters.disconnect(controller, listener);
        passToNextVersion(controller, changedRoutes);
        passToNextVersion(controller, changedRoutes);

        FollowingRouters.reconnect(controller, listener);

        BooleanSupplier isKnown = () -> listener.version() >= 3;
        assertThat(holdsInTime(isKnown, () -> passToNextVersionAndPause(controller, changedRoutes)))
                .as("version 3 is known within 2,000 ms; known is version %d", listener.version())
                .isTrue();
    }

    /** Guards against a router that never catches up with updates that found the ring of its duty full. */
    @Test
    void shouldKnowAVersionThatFoundTheRingFull() throws Exception {
        writeVersion(1, 1);
        FollowingRouter controller = openListed("r1");
        FollowingRouter listener = openWithoutStore("r2");
        FollowingRouter.connect(controller, controller, listener);
        awaitTold(listener, controller);
        listener.operators().fillRing();
        passToNextVersion(controller, 1);
        Thread.sleep(FollowingRouters.DELIVERY_MILLIS);
        long droppedVersion = controller.version();

        listener.startOperators();

        BooleanSupplier isKnown = () -> listener.version() >= droppedVersion;
        assertThat(holdsInTime(isKnown, () -> passToNextVersionAndPause(controller, 1)))
                .isTrue();
    }

    /** Guards against an update that is ignored by a router that takes itself for the controller and not sent again. */
    @Test
    void shouldKnowAVersionThatWasToldWhileItTookItselfForTheController() throws Exception {
        writeVersion(1, 1);
        FollowingRouter former = openListed("r1");
        FollowingRouter controller = openListed("r2");
        FollowingRouter.connect(former, former, controller);
        await(controller.link()::isReceivingKeyMaps);
        controller.link().setController(controller.entry());
        passToNextVersion(controller, 1);
        Thread.sleep(FollowingRouters.DELIVERY_MILLIS);

        former.link().setController(controller.entry());
        follow(former, controller);

        assertThat(holdsInTime(() -> former.version() == 2, controller::readOperators))
                .isTrue();
    }

    /** Guards against an evacuation that goes on because the controller learned its end from a listing. */
    @Test
    void shouldKnowTheEndOfAnEvacuationThatTheControllerLearnedFromAListing() throws Exception {
        writeVersion(1, 1);
        store.put(EVACUATION, "");
        FollowingRouter controller = openListed("r1");
        FollowingRouter listener = openListed("r2");
        FollowingRouter.connect(controller, controller, listener);
        follow(listener, controller);
        writeVersion(2, 1);
        writeVersion(3, 1);
        await(() -> listener.version() == 3, controller::readOperators);
        store.remove(EVACUATION);

        controller.readOperators();

        assertThat(controller.evacuatedDataCentres()).isEmpty();
        assertThat(holdsInTime(() -> listener.evacuatedDataCentres().isEmpty(), controller::readOperators))
                .as("the end is known within 2,000 ms; evacuated are %s", listener.evacuatedDataCentres())
                .isTrue();
    }

    /** Guards against a change that is made when the control passes on and that nobody reads for too long. */
    @Test
    void shouldKnowAChangeThatIsMadeWhenTheControlPassesOnBetweenTwoRouters() throws Exception {
        SharedStore waitingStore = new SharedStore(FollowingRouters.LONG_WATCH_MILLIS);
        waitingStore.put(CONFIGURATION, FollowingRouter.configuration(1, 1));
        waitingStore.put("servers/a", "up");
        FollowingRouter former = routers.open("r1", waitingStore, FollowingRouters.BATCH_MILLIS);
        FollowingRouter next = routers.open("r2", waitingStore, FollowingRouters.BATCH_MILLIS);
        FollowingRouter listener = routers.open("r3", waitingStore, FollowingRouters.BATCH_MILLIS);
        FollowingRouter.connect(former, former, next, listener);
        routers.all().forEach(FollowingRouter::startServers);
        routers.all().forEach(FollowingRouter::startOperators);
        for (FollowingRouter router : List.of(next, listener)) {
            await(() -> router.areServersTold() && router.areOperatorsTold() && router.version() == 1);
        }
        Thread.sleep(ViewFollower.ALONE_WAIT_MILLIS + FollowingRouters.BATCH_MILLIS);

        routers.all().forEach(router -> router.link().setController(next.entry()));
        waitingStore.put(CONFIGURATION, FollowingRouter.configuration(2, 1));
        long revision = waitingStore.put("servers/a", "draining");

        BooleanSupplier isKnown = () -> routers.all().stream()
                .allMatch(router ->
                        router.version() == 2 && router.revisionByServer().getOrDefault("servers/a", 0L) == revision);
        assertThat(holdsInTime(isKnown)).isTrue();
    }

    /** Guards against a new controller that tells its progress without what operators wrote. */
    @Test
    void shouldTellWhatOperatorsWroteAfterItTookTheControlWhileVersionsFollowEachOther() throws Exception {
        SharedStore waitingStore = new SharedStore(FollowingRouters.LONG_WATCH_MILLIS);
        waitingStore.put(CONFIGURATION, FollowingRouter.configuration(1, 1));
        FollowingRouter controller = routers.open("r1", waitingStore, FollowingRouters.BATCH_MILLIS);
        FollowingRouter listener = openWithoutStore("r2");
        controller.startOperators();
        await(() -> controller.version() == 1);
        FollowingRouter.connect(controller, controller, listener);
        listener.startOperators();
        await(listener::areOperatorsTold);

        NavigableMap<Long, Long> writtenNanosByVersion = new TreeMap<>();
        for (long version = 2; version <= 20; version++) {
            waitingStore.put(CONFIGURATION, FollowingRouter.configuration(version, 1));
            writtenNanosByVersion.put(version, System.nanoTime());
            Thread.sleep(FollowingRouters.CHANGE_INTERVAL_MILLIS);

            writtenNanosByVersion.headMap(listener.version(), true).clear();
            assertThat(writtenNanosByVersion.values())
                    .as("times of the versions that were not told within 2,000 ms")
                    .allMatch(writtenNanos ->
                            System.nanoTime() - writtenNanos < FollowingRouters.LIMIT_MILLIS * 1_000_000L);
        }
    }

    /** Guards against a router that follows nobody because the controller runs a release with another protocol. */
    @Test
    void shouldReadVersionsFromTheStoreWhileTheControllerIsOfAnotherRelease() throws Exception {
        SharedStore waitingStore = new SharedStore(FollowingRouters.LONG_WATCH_MILLIS);
        waitingStore.put(CONFIGURATION, FollowingRouter.configuration(1, 1));
        FollowingRouter router = routers.open("r2", waitingStore, FollowingRouters.BATCH_MILLIS);
        try (ServerSocket listener = new ServerSocket(0);
                DutyThread unused = DutyThread.start("other-release", () -> refuseConnection(listener))) {
            RouterEntry controller = new RouterEntry("r1", "127.0.0.1", listener.getLocalPort(), 7, 1);
            router.link().addRouter(controller);
            router.link().setController(controller);
            router.link().startNetwork("a secret of the test");
            router.startOperators();
            await(() -> router.version() == 1);

            for (long version = 2; version <= 10; version++) {
                long newest = version;
                waitingStore.put(CONFIGURATION, FollowingRouter.configuration(version, 1));

                assertThat(holdsInTime(() -> router.version() == newest)).isTrue();
            }
        }
    }

    /** Answers a connection like a router of another release, which cannot read its first message. */
    private static void refuseConnection(ServerSocket listener) {
        byte[] challenge =
                new HandshakeCodec().encode(new HandshakeMessage.Challenge("r1", new byte[32], new byte[32]));
        challenge[1] = PeerCodec.PROTOCOL_VERSION - 1;
        try (Socket socket = listener.accept()) {
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(challenge.length);
            out.write(challenge);
            socket.getInputStream().read();
        } catch (IOException e) {
            // The test is over, or the router closed the connection first.
        }
    }
}
