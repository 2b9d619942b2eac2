package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
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
