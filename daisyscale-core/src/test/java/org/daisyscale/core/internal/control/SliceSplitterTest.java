package org.daisyscale.core.internal.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.daisyscale.core.ownership.SliceAssignment;
import org.junit.jupiter.api.Test;

class SliceSplitterTest {
    private static final SliceAssignment SLICE = new SliceAssignment("slots", 100, 200, "server-1", 5, "");

    @Test
    void shouldIsolateTheHottestKeyWithoutChangingTheOwner() {
        List<SliceAssignment> parts = SliceSplitter.split(SLICE, Map.of(150L, 9.0, 160L, 3.0, 500L, 99.0));

        assertThat(parts)
                .containsExactly(
                        new SliceAssignment("slots", 100, 150, "server-1", 5, ""),
                        new SliceAssignment("slots", 150, 151, "server-1", 5, ""),
                        new SliceAssignment("slots", 151, 200, "server-1", 5, ""));
    }

    @Test
    void shouldSplitInTheMiddleWhenNoKeyIsKnownToBeHot() {
        List<SliceAssignment> parts = SliceSplitter.split(SLICE, Map.of());

        assertThat(parts).extracting(SliceAssignment::startHash).containsExactly(100L, 150L);
    }

    @Test
    void shouldMergeOnlySettledNeighboursOfOneOwner() {
        SliceAssignment neighbour = new SliceAssignment("slots", 200, 300, "server-1", 6, "");
        SliceAssignment moving = new SliceAssignment("slots", 200, 300, "server-1", 6, "server-2");

        assertThat(SliceSplitter.areMergeable(SLICE, neighbour)).isTrue();
        assertThat(SliceSplitter.areMergeable(SLICE, moving)).isFalse();
        assertThat(SliceSplitter.merge(SLICE, neighbour, 9))
                .isEqualTo(new SliceAssignment("slots", 100, 300, "server-1", 9, ""));
    }
}
