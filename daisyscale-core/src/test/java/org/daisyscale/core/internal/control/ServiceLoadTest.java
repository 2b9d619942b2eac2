package org.daisyscale.core.internal.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Map;
import org.daisyscale.core.ownership.KeyHash;
import org.daisyscale.core.ownership.SliceAssignment;
import org.junit.jupiter.api.Test;

class ServiceLoadTest {
    private static final long MIDDLE = KeyHash.SPACE / 2;
    private static final SliceAssignment HOT = new SliceAssignment("slots", 0, MIDDLE, "a", 1, "");
    private static final SliceAssignment COLD = new SliceAssignment("slots", MIDDLE, KeyHash.SPACE, "b", 1, "");

    @Test
    void shouldReportTheMostLoadedServerAndTheImbalance() {
        ServiceLoad load = new ServiceLoad(List.of(HOT, COLD), List.of("a", "b"), Map.of(0L, 900.0, MIDDLE, 100.0));

        assertThat(load.mostLoaded()).contains("a");
        assertThat(load.leastLoaded()).contains("b");
        assertThat(load.imbalance()).isCloseTo(1.8, within(0.02));
    }

    @Test
    void shouldAttributeTheLoadOfAMovedSliceToItsNewServer() {
        ServiceLoad load = new ServiceLoad(List.of(HOT, COLD), List.of("a", "b", "c"), Map.of(0L, 900.0));

        load.move(HOT, "c");

        assertThat(load.mostLoaded()).contains("c");
    }

    @Test
    void shouldWeightTheSlicesOfAnIdleServiceByTheirWidth() {
        ServiceLoad load = new ServiceLoad(List.of(HOT, COLD), List.of("a", "b", "c"), Map.of());

        assertThat(load.leastLoaded()).contains("c");
        assertThat(load.imbalance()).isCloseTo(1.5, within(0.01));
    }
}
