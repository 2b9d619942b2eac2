package org.daisyscale.router.internal.ring;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class ArrayRingTest {

    @Test
    void shouldRejectAnItemAndKeepTheOthersWhenFull() throws InterruptedException {
        Ring<String> ring = new ArrayRing<>("test", 2);
        ring.offer("first");
        ring.offer("second");

        boolean isAdded = ring.offer("third");

        assertThat(isAdded).isFalse();
        assertThat(ring.poll(Duration.ZERO)).contains("first");
        assertThat(ring.poll(Duration.ZERO)).contains("second");
        assertThat(ring.poll(Duration.ZERO)).isEmpty();
    }
}
