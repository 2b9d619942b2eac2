package org.daisyscale.router.internal.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.daisyscale.codec.json.JsonCodec;
import org.daisyscale.core.document.EnvironmentDocument;
import org.daisyscale.core.platform.Lease;
import org.daisyscale.core.platform.VersionedValue;
import org.daisyscale.core.platform.WriteOutcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class EtcdPlatformServiceTest {
    private static final String DEAD_URL = "http://127.0.0.1:1";
    private static final Duration TTL = Duration.ofMillis(1_500);
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final JsonCodec CODEC = new JsonCodec(text -> new EnvironmentDocument(1, "trial", List.of()));

    private final FakeGateway gateway = new FakeGateway();
    private final EtcdPlatformService platform = new EtcdPlatformService(gateway.url(), CODEC, TIMEOUT);

    EtcdPlatformServiceTest() throws Exception {}

    @AfterEach
    void close() throws Exception {
        platform.close();
        gateway.close();
    }

    @Test
    void shouldWriteOnlyOnTheExpectedVersion() {
        assertThat(platform.get("k")).isEmpty();
        assertThat(platform.compareAndSwap("k", 0, bytes("one"))).isEqualTo(WriteOutcome.ACCEPTED);
        VersionedValue first = platform.get("k").orElseThrow();

        WriteOutcome accepted = platform.compareAndSwap("k", first.version(), bytes("two"));
        WriteOutcome refused = platform.compareAndSwap("k", first.version(), bytes("three"));

        assertThat(accepted).isEqualTo(WriteOutcome.ACCEPTED);
        assertThat(refused).isEqualTo(WriteOutcome.REFUSED);
        assertThat(platform.get("k").orElseThrow().bytes()).isEqualTo(bytes("two"));
    }

    @Test
    void shouldReportAnUnknownOutcomeWhenTheAnswerIsLost() {
        gateway.loseTxnAnswers(true);

        WriteOutcome outcome = platform.compareAndSwap("k", 0, bytes("one"));

        assertThat(outcome).isEqualTo(WriteOutcome.UNKNOWN);
        assertThat(platform.get("k").orElseThrow().bytes()).isEqualTo(bytes("one"));
    }

    @Test
    void shouldGrantALeaseToOneHolderAndRaiseTheTermForTheNext() {
        Lease first = platform.acquireLease("lease", "r1", TTL).orElseThrow();

        assertThat(platform.acquireLease("lease", "r2", TTL)).isEmpty();
        assertThat(platform.leaseHolder("lease")).contains("r1");
        assertThat(platform.renewLease(first)).isTrue();
        platform.releaseLease(first);
        Lease second = platform.acquireLease("lease", "r2", TTL).orElseThrow();

        assertThat(second.term()).isGreaterThan(first.term());
        assertThat(platform.renewLease(first)).isFalse();
    }

    @Test
    void shouldRecoverItsOwnLeaseAfterALostAnswer() {
        gateway.loseTxnAnswers(true);
        assertThatThrownBy(() -> platform.acquireLease("lease", "r1", TTL)).isInstanceOf(PlatformException.class);
        gateway.loseTxnAnswers(false);

        Lease lease = platform.acquireLease("lease", "r1", TTL).orElseThrow();

        assertThat(platform.renewLease(lease)).isTrue();
    }

    @Test
    void shouldDeliverChangesUntilTheWatchIsLost() throws Exception {
        BlockingQueue<VersionedValue> changes = new LinkedBlockingQueue<>();
        CountDownLatch lost = new CountDownLatch(1);

        try (AutoCloseable watch = platform.watch(List.of("k"), changes::add, lost::countDown)) {
            platform.compareAndSwap("k", 0, bytes("one"));
            VersionedValue change = changes.poll(10, TimeUnit.SECONDS);
            gateway.endWatches();

            assertThat(change.bytes()).isEqualTo(bytes("one"));
            assertThat(change.version())
                    .isEqualTo(platform.get("k").orElseThrow().version());
            assertThat(lost.await(10, TimeUnit.SECONDS)).isTrue();
        }
    }

    @Test
    void shouldFailOverToTheNextEndpointWhenOneIsDead() {
        try (EtcdPlatformService both = new EtcdPlatformService(DEAD_URL + "," + gateway.url(), CODEC, TIMEOUT)) {
            WriteOutcome outcome = both.compareAndSwap("k", 0, bytes("one"));

            assertThat(outcome).isEqualTo(WriteOutcome.ACCEPTED);
        }
    }

    @Test
    void shouldFailWhenNoEndpointCanBeReached() {
        try (EtcdPlatformService dead = new EtcdPlatformService(DEAD_URL, CODEC, TIMEOUT)) {
            assertThatThrownBy(() -> dead.get("k"))
                    .isInstanceOf(PlatformException.class)
                    .hasMessageContaining(PlatformErrorCode.UNREACHABLE.code());
            assertThatThrownBy(() -> dead.watch(List.of("k"), change -> {}, () -> {}))
                    .isInstanceOf(PlatformException.class);
        }
    }

    @Test
    void shouldRejectAnInvalidUrl() {
        assertThatThrownBy(() -> new EtcdPlatformService("not a url", CODEC, TIMEOUT))
                .hasMessageContaining(PlatformErrorCode.BAD_URL.code());
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
