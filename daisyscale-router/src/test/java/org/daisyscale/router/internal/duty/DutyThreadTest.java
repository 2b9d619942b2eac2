package org.daisyscale.router.internal.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.junit.jupiter.api.Test;

class DutyThreadTest {

    @Test
    void shouldContinueWithTheNextStepAfterAStepThrew() throws InterruptedException {
        Ring<String> ring = new ArrayRing<>("test", 2);
        ring.offer("bad");
        ring.offer("good");
        CountDownLatch goodSeen = new CountDownLatch(1);

        try (DutyThread duty = DutyThread.start("test", () -> takeOne(ring, goodSeen))) {
            boolean isSeen = goodSeen.await(10, TimeUnit.SECONDS);

            assertThat(isSeen).isTrue();
        }
    }

    /** Guards against a router that serves on without one of its duties after an error such as a full heap. */
    @Test
    void shouldContinueWithTheNextStepAfterAStepThrewAnError() throws InterruptedException {
        Ring<String> ring = new ArrayRing<>("test", 2);
        ring.offer("error");
        ring.offer("good");
        CountDownLatch goodSeen = new CountDownLatch(1);

        try (DutyThread duty = DutyThread.start("test", () -> takeOne(ring, goodSeen))) {
            boolean isSeen = goodSeen.await(2, TimeUnit.SECONDS);

            assertThat(isSeen).isTrue();
        }
    }

    private static void takeOne(Ring<String> ring, CountDownLatch goodSeen) throws InterruptedException {
        String item = ring.poll(Duration.ofSeconds(10)).orElseThrow();
        if (item.equals("bad")) {
            throw new IllegalStateException("bad item");
        }
        if (item.equals("error")) {
            throw new OutOfMemoryError("the heap is full");
        }
        goodSeen.countDown();
    }
}
