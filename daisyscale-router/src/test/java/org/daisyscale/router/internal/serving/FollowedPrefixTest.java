package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.daisyscale.core.following.ItemView;
import org.daisyscale.core.following.ViewFollower;
import org.daisyscale.router.internal.following.FollowDuty;
import org.daisyscale.router.internal.following.FollowEvent;
import org.daisyscale.router.internal.following.FollowReports;
import org.daisyscale.router.internal.following.FollowedPrefix;
import org.daisyscale.router.internal.following.StoreReader;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.junit.jupiter.api.Test;

class FollowedPrefixTest {
    private static final FollowReports NO_REPORTS = new FollowReports((event, detail) -> {}, result -> {}, nanos -> {});

    private final Ring<FollowEvent> inbox = new ArrayRing<>("follow-servers/", 2);
    private final CountDownLatch stalled = new CountDownLatch(1);

    private FollowDuty createDuty(StoreReader reader) {
        return new FollowDuty(
                "servers/",
                new ItemView("servers/", new ControllerView.IgnoringListener()),
                new ViewFollower(new SplittableRandom(1), 200, false, System.nanoTime()),
                inbox,
                reader,
                new RecordingPeers(),
                NO_REPORTS,
                System::nanoTime);
    }

    /** Guards against a router that doesn't stop in time, or leaves a thread, because the store stalls. */
    @Test
    void shouldCloseBothThreadsWhileACallToTheStoreStalls() throws Exception {
        try (HttpLoop loop = HttpLoop.start("test-calls");
                StallingStore stalling = new StallingStore(target -> {
                    stalled.countDown();
                    return StallingStore.byteByByte(100, 100);
                })) {
            StoreClient store = new StoreClient(loop, stalling.address(), new StallingStore.Dialect());
            FollowedPrefix followed = FollowedPrefix.start(store, "servers/", inbox, this::createDuty);
            stalled.await();

            long startNanos = System.nanoTime();
            followed.close();

            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                    .isLessThan(1_000);
            assertThat(Thread.getAllStackTraces().keySet())
                    .extracting(Thread::getName)
                    .doesNotContainAnyElementsOf(List.of("follow-servers/", "read-servers/"));
        }
    }
}
