package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CallLimitTest {
    private final CallLimit limit = new CallLimit(600, 300, 5_000);

    @Test
    void shouldEndACallWhoseAnswerDoesNotBegin() {
        assertThat(limit.leftMillis(599, false, 0)).isEqualTo(1);
        assertThat(limit.leftMillis(600, false, 0)).isZero();
    }

    @Test
    void shouldGiveAnAnswerThatComesMoreTime() {
        assertThat(limit.leftMillis(2_000, true, 100)).isEqualTo(200);
    }

    @Test
    void shouldEndACallWhoseAnswerStopsComing() {
        assertThat(limit.leftMillis(2_000, true, 300)).isZero();
    }

    @Test
    void shouldEndACallWhoseAnswerComesForEver() {
        assertThat(limit.leftMillis(5_000, true, 0)).isZero();
    }

    @Test
    void shouldGiveAWholeAnswerOneTimeWhenOnlyThatIsLimited() {
        assertThat(CallLimit.ofWhole(400).leftMillis(300, true, 10)).isEqualTo(100);
    }
}
