package org.daisyscale.core.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ColdStartRampTest {
    private final ColdStartRamp ramp = new ColdStartRamp(3);

    @Test
    void shouldStartWithOneOrderAndDoubleAfterSuccessesUpToTheSlotCount() {
        int cold = ramp.limit();
        ramp.recordSuccess();
        int warmer = ramp.limit();
        ramp.recordSuccess();
        ramp.recordSuccess();

        assertThat(cold).isEqualTo(1);
        assertThat(warmer).isEqualTo(2);
        assertThat(ramp.limit()).isEqualTo(3);
    }

    @Test
    void shouldFallBackToOneOrderWhenTheServerIsColdAgain() {
        ramp.recordSuccess();

        ramp.recordColdStart();

        assertThat(ramp.limit()).isEqualTo(1);
    }
}
