package org.daisyscale.router.internal.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.daisyscale.codec.json.JsonCodec;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.document.Configuration;
import org.daisyscale.core.document.EnvironmentDocument;
import org.daisyscale.core.ownership.OwnershipMap;
import org.daisyscale.core.ownership.Seats;
import org.daisyscale.core.platform.WriteOutcome;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class PlatformDutiesTest {
    private static final Duration WAIT = Duration.ofSeconds(10);
    private static final EnvironmentDocument DOCUMENT = new EnvironmentDocument(1, "trial", List.of());
    private static final JsonCodec CODEC = new JsonCodec(text -> DOCUMENT);
    private static final PlatformKeys KEYS = PlatformKeys.of("region", "trial");

    private final FaultyPlatform platform = new FaultyPlatform();
    private final Ring<Event> events = new ArrayRing<>("events", 1_000);
    private PlatformDuties duties;

    @BeforeEach
    void start() throws InterruptedException {
        duties = new PlatformDuties(platform, CODEC, "region", "trial", "r1", 1_500, events);
        assertThat(next(Event.ConfigurationRead.class).configuration()).isNull();
    }

    @AfterEach
    void close() {
        duties.close();
    }

    @Test
    void shouldWriteOneMapAfterAnother() throws InterruptedException {
        duties.handle(new Action.WriteMap(map(1, "w1")));
        duties.handle(new Action.WriteMap(map(2, "w2")));

        assertThat(next(Event.MapWriteEnded.class)).isEqualTo(new Event.MapWriteEnded("w1", WriteOutcome.ACCEPTED));
        assertThat(next(Event.MapWriteEnded.class)).isEqualTo(new Event.MapWriteEnded("w2", WriteOutcome.ACCEPTED));
    }

    @Test
    void shouldPublishAMapThatAnotherRouterWrote() throws InterruptedException {
        platform.inner().compareAndSwap(KEYS.map(), 0, CODEC.write(map(1, "other")));

        assertThat(next(Event.MapRead.class).map()).isEqualTo(map(1, "other"));
    }

    @Test
    void shouldRejectAMapThatDoesNotFollowTheStoredOne() throws InterruptedException {
        duties.handle(new Action.WriteMap(map(3, "w3")));

        assertThat(next(Event.MapWriteEnded.class)).isEqualTo(new Event.MapWriteEnded("w3", WriteOutcome.REFUSED));
        assertThat(platform.writeCount()).isZero();
    }

    @Test
    void shouldWriteAConfiguration() throws InterruptedException {
        Configuration configuration = new Configuration(1, "c1", "text", DOCUMENT, Set.of("dc1"), Set.of(), List.of());

        duties.handle(new Action.WriteConfiguration(configuration));

        assertThat(next(Event.ConfigurationRead.class).configuration()).isEqualTo(configuration);
    }

    @Test
    void shouldReadBackAWriteWhoseAnswerWasLostAndSendItOnlyOnce() throws InterruptedException {
        platform.loseWriteAnswers();

        duties.handle(new Action.WriteMap(map(1, "w1")));

        assertThat(next(Event.MapWriteEnded.class)).isEqualTo(new Event.MapWriteEnded("w1", WriteOutcome.ACCEPTED));
        assertThat(platform.writeCount()).isEqualTo(1);
    }

    @Test
    void shouldReportALostWriteAsRefusedWhenAnotherWriteReplacedIt() throws InterruptedException {
        platform.loseWrites();
        CountDownLatch gate = platform.holdWrites();
        duties.handle(new Action.WriteMap(map(1, "w1")));
        platform.inner().compareAndSwap(KEYS.map(), 0, CODEC.write(map(1, "other")));

        gate.countDown();

        assertThat(next(Event.MapWriteEnded.class)).isEqualTo(new Event.MapWriteEnded("w1", WriteOutcome.REFUSED));
    }

    @Test
    void shouldReportAnUnknownOutcomeWhileALostWriteMayStillBeInFlight() throws InterruptedException {
        platform.loseWrites();

        duties.handle(new Action.WriteMap(map(1, "w1")));

        assertThat(next(Event.MapWriteEnded.class)).isEqualTo(new Event.MapWriteEnded("w1", WriteOutcome.UNKNOWN));
        assertThat(platform.writeCount()).isEqualTo(1);
    }

    @Test
    void shouldReadAgainAfterTheWatchWasLost() throws InterruptedException {
        platform.loseWatch();

        assertThat(next(Event.MapRead.class).map()).isEqualTo(OwnershipMap.empty());
        assertThat(next(Event.ConfigurationRead.class).configuration()).isNull();
    }

    @Test
    void shouldReportAnUnreachableServiceAndReadAgainOnceItRecovers() throws InterruptedException {
        platform.setUnavailable(true);
        platform.loseWatch();
        assertThat(next(Event.PlatformUnreachable.class).reason()).contains(PlatformErrorCode.UNREACHABLE.code());

        platform.setUnavailable(false);

        assertThat(next(Event.MapRead.class).map()).isEqualTo(OwnershipMap.empty());
    }

    @Test
    void shouldTimestampTheControlLeaseBeforeTheCallWhileAWriteIsSlow() throws InterruptedException {
        CountDownLatch gate = platform.holdWrites();
        duties.handle(new Action.WriteMap(map(1, "w1")));
        long beforeNanos = System.nanoTime();

        duties.handle(new Action.HoldControlLease());
        Event.ControlLeaseHeld first = next(Event.ControlLeaseHeld.class);
        duties.handle(new Action.HoldControlLease());
        Event.ControlLeaseHeld second = next(Event.ControlLeaseHeld.class);
        gate.countDown();

        assertThat(first.requestedNanos()).isBetween(beforeNanos, System.nanoTime());
        assertThat(second.term()).isEqualTo(first.term());
        assertThat(second.requestedNanos()).isGreaterThan(first.requestedNanos());
    }

    @Test
    void shouldReportAnotherHolderOfTheControlLease() throws InterruptedException {
        platform.inner().acquireLease(KEYS.control(), "r2", Duration.ofMinutes(1));

        duties.handle(new Action.HoldControlLease());

        assertThat(next(Event.ControlLeaseLost.class)).isEqualTo(new Event.ControlLeaseLost("r2"));
    }

    @Test
    void shouldReleaseTheControlLease() throws InterruptedException {
        duties.handle(new Action.HoldControlLease());
        next(Event.ControlLeaseHeld.class);

        duties.handle(new Action.ReleaseControlLease());

        assertThat(next(Event.ControlLeaseLost.class)).isEqualTo(new Event.ControlLeaseLost(""));
        assertThat(platform.inner().leaseHolder(KEYS.control())).isEmpty();
    }

    @Test
    void shouldRejectWritesThatAreNeverSentBecauseTheRingIsFull() throws InterruptedException {
        CountDownLatch gate = platform.holdWrites();

        for (int i = 0; i < 100; i++) {
            duties.handle(new Action.WriteMap(map(1, "w" + i)));
        }
        Event.MapWriteEnded refused = next(Event.MapWriteEnded.class);
        gate.countDown();

        assertThat(refused.outcome()).isEqualTo(WriteOutcome.REFUSED);
        assertThat(platform.writeCount()).isLessThanOrEqualTo(1);
    }

    private static OwnershipMap map(long version, String writeId) {
        return new OwnershipMap(version, 1, writeId, Seats.none(), List.of(), List.of());
    }

    private <T extends Event> T next(Class<T> type) throws InterruptedException {
        Event event = events.poll(WAIT).orElseThrow();
        while (!type.isInstance(event)) {
            event = events.poll(WAIT).orElseThrow();
        }
        return type.cast(event);
    }
}
