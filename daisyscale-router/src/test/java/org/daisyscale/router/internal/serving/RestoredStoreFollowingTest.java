package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.daisyscale.core.serving.RoutingTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Routers that follow a store which is restored from an older copy. */
class RestoredStoreFollowingTest {
    private static final String CONFIGURATION = FollowingRouter.OPERATORS + "config";
    private static final String EVACUATION = FollowingRouter.OPERATORS + "evacuate/z1";
    private static final String SERVER = FollowingRouter.SERVERS + "k1";
    private static final long BATCH_MILLIS = 50;

    private final SharedStore store = new SharedStore(300);
    private final List<FollowingRouter> routers = new ArrayList<>();
    private SharedStore.Copy copy;

    /** Starts a controller and a router that it tells, which know what the copy lacks. */
    @BeforeEach
    void followWhatTheCopyLacks() throws Exception {
        store.put(CONFIGURATION, FollowingRouter.configuration(1, 1));
        routers.add(new FollowingRouter("r1", store, BATCH_MILLIS));
        routers.add(new FollowingRouter("r2", store, BATCH_MILLIS));
        FollowingRouter.connect(routers.get(0), routers.toArray(FollowingRouter[]::new));
        for (FollowingRouter router : routers) {
            router.startOperators();
            router.startServers();
        }
        await(() -> routers.stream().allMatch(router -> router.version() == 1));
        copy = store.copy();
        store.put(CONFIGURATION, FollowingRouter.configuration(2, 2));
        store.put(EVACUATION, "");
        store.put(SERVER, "new");
        await(() -> routers.stream().allMatch(RestoredStoreFollowingTest::knowsWhatTheCopyLacks));
    }

    @AfterEach
    void close() {
        routers.forEach(FollowingRouter::close);
    }

    private static boolean knowsWhatTheCopyLacks(FollowingRouter router) {
        return router.version() == 2
                && router.evacuatedDataCentres().contains("z1")
                && router.revisionByServer().containsKey(SERVER);
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("in time").isLessThan(endNanos);
            Thread.sleep(5);
        }
    }

    private void checkKeptFor(long millis) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() - endNanos < 0) {
            assertThat(routers).allMatch(RestoredStoreFollowingTest::knowsWhatTheCopyLacks);
            Thread.sleep(5);
        }
    }

    @Test
    void shouldKeepWhatIsWrittenAgainWithoutAGap() throws InterruptedException {
        store.restore(copy);
        checkKeptFor(1_200);

        store.put(EVACUATION, "");
        store.put(SERVER, "new");

        checkKeptFor(2_500);
    }

    @Test
    void shouldCountWhatIsNotWrittenAgainWithin2SecondsAsUndone() throws InterruptedException {
        store.restore(copy);

        checkKeptFor(1_900);
        await(() -> routers.stream()
                .allMatch(router -> router.evacuatedDataCentres().isEmpty()
                        && router.revisionByServer().isEmpty()));
        assertThat(routers).allMatch(router -> router.version() == 2);
    }

    @Test
    void shouldTakeANewerConfigurationOfTheNewEraAndNeverAnOlderOne() throws InterruptedException {
        store.restore(copy);
        store.put(CONFIGURATION, FollowingRouter.configuration(3, 3));

        await(() -> routers.stream().allMatch(router -> router.version() == 3));

        assertThat(routers)
                .allSatisfy(router -> assertThat(router.tables())
                        .extracting(RoutingTable::version)
                        .isSorted());
    }

    @Test
    void shouldSendTheNewerConfigurationToARouterThatKnowsOnlyTheCopy() throws IOException, InterruptedException {
        store.restore(copy);
        FollowingRouter started = new FollowingRouter("r3", store, BATCH_MILLIS);
        routers.add(started);
        started.readOperators();
        assertThat(started.version()).isEqualTo(1);

        FollowingRouter.connect(routers.get(0), routers.toArray(FollowingRouter[]::new));
        started.startOperators();

        await(() -> started.version() == 2);
    }
}
