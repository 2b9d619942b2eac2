package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.daisyscale.router.internal.duty.DutyThread;

/** The routers of one test, and the waits for what they know. Not thread-safe; confined to the thread of the test. */
final class FollowingRouters implements AutoCloseable {
    /** Time within which a change must be known at each connected router, in milliseconds. */
    static final long LIMIT_MILLIS = 2_000;
    /** A port that refuses connections. */
    static final int CLOSED_PORT = 1;
    /** Interval of changes that follow each other quickly, in milliseconds. */
    static final long CHANGE_INTERVAL_MILLIS = 150;
    /** Time for a message to arrive over the loopback interface, in milliseconds. */
    static final long DELIVERY_MILLIS = 100;
    /** How long the store holds a watch while the test runs the steps of the controller, in milliseconds. */
    static final long SHORT_WATCH_MILLIS = 50;

    static final long LONG_WATCH_MILLIS = 30_000;
    /** How long routers whose duties run on their threads batch changes, in milliseconds. */
    static final long BATCH_MILLIS = 200;

    private static final long SETUP_LIMIT_MILLIS = 10_000;
    private static final long CHECK_MILLIS = 5;

    private final List<FollowingRouter> opened = new ArrayList<>();

    /** Opens a router whose steps the test runs, or its threads without a batch. */
    FollowingRouter open(String routerId, SharedStore store) throws IOException {
        return open(routerId, store, 0);
    }

    FollowingRouter open(String routerId, SharedStore store, long batchMillis) throws IOException {
        FollowingRouter router = new FollowingRouter(routerId, store, batchMillis);
        opened.add(router);
        return router;
    }

    List<FollowingRouter> all() {
        return opened;
    }

    /** Repeats {@code step} until {@code condition} holds or the limit is over; returns whether it holds. */
    static boolean holdsInTime(BooleanSupplier condition, DutyThread.Step step) throws InterruptedException {
        return becomesTrue(condition, step, LIMIT_MILLIS);
    }

    /** Returns whether {@code condition} holds before the limit is over. */
    static boolean holdsInTime(BooleanSupplier condition) throws InterruptedException {
        return holdsInTime(condition, () -> Thread.sleep(CHECK_MILLIS));
    }

    /** Repeats {@code step} until {@code condition} holds, which the test needs before it begins. */
    static void await(BooleanSupplier condition, DutyThread.Step step) throws InterruptedException {
        assertThat(becomesTrue(condition, step, SETUP_LIMIT_MILLIS)).isTrue();
    }

    static void await(BooleanSupplier condition) throws InterruptedException {
        await(condition, () -> Thread.sleep(CHECK_MILLIS));
    }

    /** Closes the connections between {@code controller} and {@code router} until {@link #reconnect}. */
    static void disconnect(FollowingRouter controller, FollowingRouter router) throws InterruptedException {
        RouterEntry entry = router.entry();
        controller.link().addRouter(new RouterEntry(entry.routerId(), entry.host(), CLOSED_PORT, 0, entry.cores()));
        await(() -> !router.link().isReceivingKeyMaps());
    }

    static void reconnect(FollowingRouter controller, FollowingRouter router) throws InterruptedException {
        controller.link().addRouter(router.entry());
        await(router.link()::isReceivingKeyMaps);
    }

    private static boolean becomesTrue(BooleanSupplier condition, DutyThread.Step step, long limitMillis)
            throws InterruptedException {
        long endNanos = System.nanoTime() + limitMillis * 1_000_000L;
        while (!condition.getAsBoolean() && System.nanoTime() - endNanos < 0) {
            step.run();
        }
        return condition.getAsBoolean();
    }

    @Override
    public void close() {
        opened.parallelStream().forEach(FollowingRouter::close);
    }
}
