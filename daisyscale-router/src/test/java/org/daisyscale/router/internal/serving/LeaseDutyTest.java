package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.daisyscale.core.keys.KeyEvent;
import org.junit.jupiter.api.Test;

class LeaseDutyTest {
    private final LeasedStore store = new LeasedStore();
    private final List<KeyEvent> keyEvents = new ArrayList<>();
    private final AtomicLong epochMillis = new AtomicLong();
    private final AtomicLong nowNanos = new AtomicLong();
    private final LeaseDuty duty = new LeaseDuty(
            store,
            new RouterEntry("r1", "10.0.0.1", 7_620, 0, 0.3),
            event -> {},
            keyEvents::add,
            new SuspensionDetector(epochMillis::incrementAndGet, () -> 0),
            nowNanos::get);

    private void step(int count) throws InterruptedException {
        for (int index = 0; index < count; index++) {
            duty.runStep();
        }
    }

    @Test
    void shouldStayRegisteredWhileAStoppingRouterStillServes() throws InterruptedException {
        step(1);

        duty.stop();
        step(2);

        assertThat(store.get(StoreKeys.router("r1"))).isPresent();
    }

    @Test
    void shouldReleaseControlAsSoonAsTheStopIsRequested() throws InterruptedException {
        duty.recordStoreState(false, false);
        step(1);
        assertThat(store.get(StoreKeys.CONTROLLER)).isPresent();

        duty.stop();
        step(2);

        assertThat(store.get(StoreKeys.CONTROLLER)).isEmpty();
        assertThat(keyEvents).last().isInstanceOf(KeyEvent.LeaseLost.class);
    }

    @Test
    void shouldLeaveTheControlToAVmWithMoreProcessorTimeAtFirst() throws InterruptedException {
        duty.recordMostCores(1.5);
        duty.recordStoreState(false, false);
        step(1);

        assertThat(store.get(StoreKeys.CONTROLLER)).isEmpty();
    }

    @Test
    void shouldTakeTheControlWhenNoVmWithMoreProcessorTimeTakesIt() throws InterruptedException {
        duty.recordMostCores(1.5);
        duty.recordStoreState(false, false);
        step(1);
        nowNanos.addAndGet(TimeUnit.SECONDS.toNanos(1));
        step(1);

        assertThat(store.get(StoreKeys.CONTROLLER)).isPresent();
    }

    @Test
    void shouldRegisterWithTwoCallsAtTheStart() throws InterruptedException {
        duty.recordStoreState(true, true);
        step(1);

        assertThat(store.get(StoreKeys.router("r1"))).isPresent();
        assertThat(store.callCount()).isEqualTo(2);
    }

    @Test
    void shouldWriteThePeerSecretOnlyAsController() throws InterruptedException {
        duty.recordStoreState(true, true);
        step(1);
        assertThat(store.get(StoreKeys.PEER_SECRET)).isEmpty();

        duty.recordStoreState(false, true);
        step(1);

        assertThat(store.get(StoreKeys.PEER_SECRET)).isPresent();
    }

    /** All routers tried to take the control at once, and each attempt but one was in vain. */
    @Test
    void shouldLeaveTheControlToEarlierCandidatesAndTakeItWhenTheyDont() throws InterruptedException {
        duty.recordCandidateRank(LeaseDuty.FIRST_CANDIDATES);
        duty.recordStoreState(false, false);
        step(1);
        assertThat(store.get(StoreKeys.CONTROLLER)).isEmpty();

        nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(300));
        step(1);

        assertThat(store.get(StoreKeys.CONTROLLER)).isPresent();
    }

    @Test
    void shouldRankRoutersOnEquallyLargeVmsWithoutTheFormerController() {
        Map<String, Double> cores = Map.of("r1", 0.3, "r2", 0.3, "r3", 0.3, "r4", 0.3, "large", 1.5);

        List<Integer> ranks = Stream.of("r1", "r2", "r3")
                .map(id -> CandidateRank.of(id, cores, "r4"))
                .toList();

        assertThat(ranks).containsExactlyInAnyOrder(0, 1, 2);
    }

    /** Guards against two controllers: the monotonic clock does not count the time of a suspension. */
    @Test
    void shouldNotTakeARenewalForValidDuringWhichTheVmWasSuspended() throws InterruptedException {
        duty.recordStoreState(false, false);
        step(1);
        keyEvents.clear();
        store.onRenewal(() -> epochMillis.addAndGet(5_000));

        step(1);

        assertThat(keyEvents).noneMatch(KeyEvent.LeaseRenewed.class::isInstance);
    }
}
