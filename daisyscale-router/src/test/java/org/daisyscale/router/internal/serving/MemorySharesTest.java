package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MemorySharesTest {
    private static final long MEGABYTE = 1L << 20;

    /** Guards against buffers that fill the heap: bodies and responses are copied once. */
    @ParameterizedTest
    @CsvSource({"290, 160", "682, 160", "200, 160", "0, 160", "682, 400"})
    void shouldLeaveATenthOfTheHeapFreeWhenAllBodiesAreCopiedOnce(long vmMemoryMb, long heapMb) {
        MemoryShares shares = MemoryShares.of(vmMemoryMb, heapMb * MEGABYTE);

        assertThat(2 * (shares.callerBytes() + shares.backendBytes()))
                .isPositive()
                .isLessThanOrEqualTo((long) (0.9 * heapMb * MEGABYTE) + 2);
        if (vmMemoryMb > 0) {
            assertThat(shares.callerBytes()).isLessThan(vmMemoryMb * MEGABYTE / 4);
        }
    }
}
