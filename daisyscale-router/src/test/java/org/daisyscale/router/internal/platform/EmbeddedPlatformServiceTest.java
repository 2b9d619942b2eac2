package org.daisyscale.router.internal.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.daisyscale.core.platform.Lease;
import org.daisyscale.core.platform.VersionedValue;
import org.daisyscale.core.platform.WriteOutcome;
import org.junit.jupiter.api.Test;

class EmbeddedPlatformServiceTest {
    private static final Duration TTL = Duration.ofMillis(100);

    private final AtomicLong nanos = new AtomicLong();
    private final EmbeddedPlatformService platform = new EmbeddedPlatformService(nanos::get);

    @Test
    void shouldWriteOnlyOnTheExpectedVersionAndNotifyWatches() throws Exception {
        List<VersionedValue> changes = new ArrayList<>();
        try (AutoCloseable watch = platform.watch(List.of("k"), changes::add, () -> {})) {
            WriteOutcome accepted = platform.compareAndSwap("k", 0, new byte[] {1});
            WriteOutcome refused = platform.compareAndSwap("k", 0, new byte[] {2});

            assertThat(accepted).isEqualTo(WriteOutcome.ACCEPTED);
            assertThat(refused).isEqualTo(WriteOutcome.REFUSED);
            assertThat(changes).containsExactly(platform.get("k").orElseThrow());
        }
    }

    @Test
    void shouldExpireALeaseAndRaiseTheTermForTheNextHolder() {
        Lease first = platform.acquireLease("lease", "r1", TTL).orElseThrow();
        nanos.addAndGet(Duration.ofMillis(60).toNanos());
        assertThat(platform.renewLease(first)).isTrue();
        nanos.addAndGet(Duration.ofMillis(60).toNanos());
        assertThat(platform.acquireLease("lease", "r2", TTL)).isEmpty();
        nanos.addAndGet(Duration.ofMillis(60).toNanos());

        Lease second = platform.acquireLease("lease", "r2", TTL).orElseThrow();

        assertThat(second.term()).isGreaterThan(first.term());
        assertThat(platform.renewLease(first)).isFalse();
    }
}
