package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.daisyscale.core.keys.KeyEvent;
import org.daisyscale.router.serving.ServingRouterSettings.Address;
import org.junit.jupiter.api.Test;

class LeaseDutyTest {
    private final LeasedStore store = new LeasedStore();
    private final List<KeyEvent> keyEvents = new ArrayList<>();
    private final LeaseDuty duty =
            new LeaseDuty(store, "r1", new Address("10.0.0.1", 7_620), 0.3, event -> {}, keyEvents::add);

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
        step(4);

        assertThat(store.get(StoreKeys.CONTROLLER)).isPresent();
    }
}
