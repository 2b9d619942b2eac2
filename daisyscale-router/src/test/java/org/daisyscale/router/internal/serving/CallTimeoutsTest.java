package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CallTimeoutsTest {
    private final CallTimeouts timeouts = new CallTimeouts(600, 300, 5_000);

    @Test
    void shouldTimeOutACallWhoseResponseDoesNotBegin() {
        assertThat(timeouts.remainingMillis(599, false, 0)).isEqualTo(1);
        assertThat(timeouts.remainingMillis(600, false, 0)).isZero();
    }

    @Test
    void shouldGiveMoreTimeWhileTheResponseArrives() {
        assertThat(timeouts.remainingMillis(2_000, true, 100)).isEqualTo(200);
    }

    @Test
    void shouldTimeOutACallWhoseResponseStalls() {
        assertThat(timeouts.remainingMillis(2_000, true, 300)).isZero();
    }

    @Test
    void shouldTimeOutACallWhoseResponseNeverEnds() {
        assertThat(timeouts.remainingMillis(5_000, true, 0)).isZero();
    }

    @Test
    void shouldLimitOnlyTheTotalTimeWhenNothingElseIsLimited() {
        assertThat(CallTimeouts.ofTotal(400).remainingMillis(300, true, 10)).isEqualTo(100);
    }
}
