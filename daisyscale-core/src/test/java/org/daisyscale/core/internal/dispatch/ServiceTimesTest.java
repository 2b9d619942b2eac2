package org.daisyscale.core.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

class ServiceTimesTest {
    private static final long COLD_MICROS = 1_500_000;
    private static final long WARM_MICROS = 4_000;

    private final ServiceTimes times = new ServiceTimes();

    @Test
    void shouldForgetAColdStartAfterSixtyFourWarmAnswers() {
        add(COLD_MICROS, 20);

        add(WARM_MICROS, 64);

        assertThat(times.meanMicros("lookup")).isEqualTo(WARM_MICROS);
        assertThat(times.meanMicros()).isEqualTo(WARM_MICROS);
    }

    @Test
    void shouldUseTheFirstAnswerOfAKindAsItsMean() {
        add(COLD_MICROS, 1);

        assertThat(times.meanMicros("lookup")).isEqualTo(COLD_MICROS);
    }

    @Test
    void shouldEstimateAnUnknownKindByTheMeanOfAllKinds() {
        add(WARM_MICROS, 1);
        times.add("upload", 3 * WARM_MICROS);

        assertThat(times.meanMicros("payment")).isCloseTo(2 * WARM_MICROS, within(1.0));
    }

    private void add(long micros, int count) {
        for (int answer = 0; answer < count; answer++) {
            times.add("lookup", micros);
        }
    }
}
