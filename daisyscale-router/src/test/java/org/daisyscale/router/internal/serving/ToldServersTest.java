package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.daisyscale.router.internal.serving.FollowingRouters.await;
import static org.daisyscale.router.internal.serving.FollowingRouters.holdsInTime;

import java.io.IOException;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * A change of a server that the controller read must be known within 2,000 ms at each connected router, also when the
 * message about it was lost and while other servers change.
 */
class ToldServersTest {
    private static final long LAPSE_OUTAGE_MILLIS = 1_050;
    private static final long GRACE_WITH_MARGIN_MILLIS = 1_850;

    private final SharedStore store = new SharedStore(FollowingRouters.SHORT_WATCH_MILLIS);
    private final FollowingRouters routers = new FollowingRouters();

    @AfterEach
    void closeRouters() {
        routers.close();
    }

    /** Returns a router that knows the servers of the store and reads it no more until a step or its thread runs. */
    private FollowingRouter openListed(String routerId) throws IOException, InterruptedException {
        FollowingRouter router = routers.open(routerId, store);
        router.readServers();
        return router;
    }

    /** Lets {@code listener} follow what {@code controller} tells from now on. */
    private static void follow(FollowingRouter listener, FollowingRouter controller) throws InterruptedException {
        awaitTold(listener, controller);
        listener.startServers();
    }

    /** Waits until {@code listener} has heard {@code controller} and has said what it holds. */
    private static void awaitTold(FollowingRouter listener, FollowingRouter controller) throws InterruptedException {
        await(listener::areServersTold, () -> {
            controller.readServers();
            listener.servers().runStepWithoutStore();
        });
    }

    private static boolean knows(FollowingRouter router, String server, long revision) {
        return router.revisionByServer().getOrDefault(server, 0L) >= revision;
    }

    private void changeAnotherServer(FollowingRouter controller) throws InterruptedException {
        store.put("servers/changing", "");
        controller.readServers();
        Thread.sleep(FollowingRouters.CHANGE_INTERVAL_MILLIS);
    }

    private void assertKnownWhileOthersChange(
            FollowingRouter controller, FollowingRouter listener, String server, long revision)
            throws InterruptedException {
        boolean isKnown = holdsInTime(() -> knows(listener, server, revision), () -> changeAnotherServer(controller));

        assertThat(isKnown)
                .as("%s is known at revision %d within 2,000 ms: %s", server, revision, listener.revisionByServer())
                .isTrue();
    }

    /** Guards against a draining server whose change was read before the reader knew itself as controller. */
    @Test
    void shouldKnowAChangeThatTheControllerReadBeforeItKnewItselfAsController() throws Exception {
        store.put("servers/a", "up");
        FollowingRouter controller = openListed("r1");
        FollowingRouter listener = openListed("r2");
        long revision = store.put("servers/a", "draining");
        controller.readServers();

        FollowingRouter.connect(controller, controller, listener);
        await(listener.link()::isReceivingKeyMaps);
        follow(listener, controller);

        assertKnownWhileOthersChange(controller, listener, "servers/a", revision);
    }

    /** Guards against a draining server whose change was told before the router reconnected. */
    @Test
    void shouldKnowAChangeThatWasToldWhileTheRouterWasDisconnected() throws Exception {
        store.put("servers/a", "up");
        FollowingRouter controller = openListed("r1");
        FollowingRouter listener = openListed("r2");
        FollowingRouter.connect(controller, controller, listener);
        follow(listener, controller);
        FollowingRouters.disconnect(controller, listener);

        long revision = store.put("servers/a", "draining");
        controller.readServers();
        FollowingRouters.reconnect(controller, listener);

        assertKnownWhileOthersChange(controller, listener, "servers/a", revision);
    }

    /** Guards against a change that the former controller ignores because it does not know the new one yet. */
    @Test
    void shouldKnowAsFormerControllerAChangeThatWasToldBeforeItKnewTheNewOne() throws Exception {
        store.put("servers/a", "up");
        FollowingRouter former = openListed("r1");
        FollowingRouter controller = openListed("r2");
        FollowingRouter.connect(former, former, controller);
        await(controller.link()::isReceivingKeyMaps);
        controller.link().setController(controller.entry());

        long revision = store.put("servers/a", "draining");
        controller.readServers();
        Thread.sleep(FollowingRouters.DELIVERY_MILLIS);
        former.link().setController(controller.entry());
        follow(former, controller);

        assertKnownWhileOthersChange(controller, former, "servers/a", revision);
    }

    /** Guards against a router that misses all changes after one that found the ring of its duty full. */
    @Test
    void shouldKnowAChangeThatFoundTheRingFull() throws Exception {
        store.put("servers/a", "up");
        FollowingRouter controller = openListed("r1");
        FollowingRouter listener = openListed("r2");
        FollowingRouter.connect(controller, controller, listener);
        awaitTold(listener, controller);
        listener.servers().fillRing();

        long revision = store.put("servers/a", "draining");
        controller.readServers();
        Thread.sleep(FollowingRouters.DELIVERY_MILLIS);
        listener.startServers();

        assertKnownWhileOthersChange(controller, listener, "servers/a", revision);
    }

    /**
     * Makes a call of {@code controller} fail and the store unreachable for long enough that servers may lapse, but not
     * for so long that the other routers read the store themselves.
     */
    private void loseTheStore(FollowingRouter controller) throws InterruptedException {
        controller.readServers();
        store.setReachable(false);
        controller.readServers();
        Thread.sleep(LAPSE_OUTAGE_MILLIS);
    }

    /** Guards against changes that do not follow the last one told because a lapsed server is kept for a while. */
    @Test
    void shouldKnowAChangeAfterAnotherServerLapsedInAnOutageOfTheStore() throws Exception {
        store.put("servers/a", "up");
        store.put("servers/lapsed", "up");
        FollowingRouter controller = openListed("r1");
        FollowingRouter listener = openListed("r2");
        FollowingRouter.connect(controller, controller, listener);
        follow(listener, controller);
        loseTheStore(controller);
        store.remove("servers/lapsed");
        store.setReachable(true);
        controller.readServers();

        long revision = store.put("servers/a", "draining");

        assertKnownWhileOthersChange(controller, listener, "servers/a", revision);
    }

    /** Guards against a server that is kept because its removal after the grace period has no revision of its own. */
    @Test
    void shouldKnowThatAServerIsGoneThoughThatWasToldWhileTheRouterWasDisconnected() throws Exception {
        store.put("servers/a", "up");
        store.put("servers/lapsed", "up");
        FollowingRouter controller = openListed("r1");
        FollowingRouter listener = openListed("r2");
        FollowingRouter.connect(controller, controller, listener);
        follow(listener, controller);
        loseTheStore(controller);
        store.remove("servers/lapsed");
        long revision = store.put("servers/a", "draining");
        store.setReachable(true);
        long startNanos = System.nanoTime();
        await(() -> knows(listener, "servers/a", revision), controller::readServers);
        await(() -> System.nanoTime() - startNanos >= GRACE_WITH_MARGIN_MILLIS * 1_000_000L, controller::readServers);
        FollowingRouters.disconnect(controller, listener);
        await(() -> !knows(controller, "servers/lapsed", 1), controller::readServers);
        assertThat(knows(listener, "servers/lapsed", 1)).isTrue();

        FollowingRouters.reconnect(controller, listener);

        BooleanSupplier isGone = () -> !knows(listener, "servers/lapsed", 1);
        assertThat(holdsInTime(isGone, controller::readServers))
                .as("the server is known to be gone within 2,000 ms: %s", listener.revisionByServer())
                .isTrue();
    }
}
