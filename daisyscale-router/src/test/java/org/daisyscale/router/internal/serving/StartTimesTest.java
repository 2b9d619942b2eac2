package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class StartTimesTest {
    private final AtomicLong uptimeMillis = new AtomicLong();
    private final StartTimes times = new StartTimes(uptimeMillis::get);

    private Map<StartStep, Long> recorded() {
        Map<StartStep, Long> recorded = new EnumMap<>(StartStep.class);
        times.forEach(recorded::put);
        return recorded;
    }

    @Test
    void shouldKeepTheFirstTimeOfEachStep() {
        uptimeMillis.set(40);
        times.mark(StartStep.FIRST_REQUEST);
        uptimeMillis.set(90);
        times.mark(StartStep.FIRST_REQUEST);
        times.mark(StartStep.CONFIGURATION_KNOWN);

        assertThat(recorded())
                .containsOnly(Map.entry(StartStep.FIRST_REQUEST, 40L), Map.entry(StartStep.CONFIGURATION_KNOWN, 90L));
    }

    @Test
    void shouldRecordWhenEachFactBecomesKnownAndWhenTheRouterIsReady() {
        Readiness readiness = new Readiness(times);
        uptimeMillis.set(10);
        readiness.markServersKnown();
        uptimeMillis.set(20);
        readiness.markTableKnown();
        uptimeMillis.set(30);
        readiness.markOperatorsKnown();
        uptimeMillis.set(40);
        readiness.markRoutersKnown();

        assertThat(recorded())
                .containsOnly(
                        Map.entry(StartStep.SERVERS_KNOWN, 10L),
                        Map.entry(StartStep.CONFIGURATION_KNOWN, 20L),
                        Map.entry(StartStep.EVACUATIONS_KNOWN, 30L),
                        Map.entry(StartStep.ROUTERS_KNOWN, 40L),
                        Map.entry(StartStep.READY, 40L));
    }
}
