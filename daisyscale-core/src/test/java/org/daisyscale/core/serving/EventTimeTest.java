package org.daisyscale.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class EventTimeTest {
    private static final long MILLI = 1_000_000L;

    @Test
    void shouldBePastOnceTheTimeHasPassedSinceTheEarliestMoment() {
        EventTime time = EventTime.notBefore(-50 * MILLI);

        assertThat(time.mayBePast(100, 49 * MILLI)).isFalse();
        assertThat(time.mayBePast(100, 50 * MILLI)).isTrue();
    }

    @Test
    void shouldBePastAnyTimeWhenItIsNotKnown() {
        assertThat(EventTime.UNKNOWN.mayBePast(Long.MAX_VALUE / MILLI, 0)).isTrue();
    }

    @Test
    void shouldTakeTheEarlierOfTwoTimes() {
        EventTime early = EventTime.notBefore(1);
        EventTime late = EventTime.notBefore(2);

        assertThat(early.earlier(late)).isEqualTo(early);
        assertThat(late.earlier(early)).isEqualTo(early);
    }

    @Test
    void shouldTakeTheUnknownOneOfTwoTimesAsTheEarlier() {
        EventTime known = EventTime.notBefore(1);

        assertThat(known.earlier(EventTime.UNKNOWN)).isEqualTo(EventTime.UNKNOWN);
        assertThat(EventTime.UNKNOWN.earlier(known)).isEqualTo(EventTime.UNKNOWN);
    }
}
