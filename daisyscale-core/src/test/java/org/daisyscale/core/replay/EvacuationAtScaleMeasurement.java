package org.daisyscale.core.replay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.daisyscale.core.serving.KeyMap;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Logs how long the controller of a grown deployment takes to empty data centres, in simulated time, and the processor
 * time of its decisions.
 */
@Tag("measurement")
class EvacuationAtScaleMeasurement {
    private static final System.Logger LOG = System.getLogger(EvacuationAtScaleMeasurement.class.getName());

    private static final int SERVERS = 240;
    private static final int ROUTERS = 72;
    private static final List<String> DATA_CENTRES = List.of("dc-1", "dc-2", "dc-3", "dc-4");
    private static final double REQUESTS_PER_SECOND = 1_500;
    private static final double EVACUATED_MILLIS = 8_000;
    private static final double LIMIT_MILLIS = 14_000;
    private static final double SAMPLE_MILLIS = 10;

    private double ownedUntilMillis;
    private double heldUntilMillis;
    private double unheldSeconds;
    private double processorMillis;

    @Test
    void shouldPrintAQuietEvacuation() {
        play("quiet", List.of("dc-2"), replay -> {});
    }

    @Test
    void shouldPrintAnEvacuationWhileOneGrantInTenIsLate() {
        play("one grant in ten late", List.of("dc-2"), replay -> replay.grants().delayGrants(2_000, 10));
    }

    @Test
    void shouldPrintAnEvacuationWithATakeoverInTheMiddle() {
        play(
                "take-over after 0.3 s",
                List.of("dc-2"),
                replay -> replay.time()
                        .after(EVACUATED_MILLIS + 300 - replay.time().nowMillis(), replay::replaceController));
    }

    @Test
    void shouldPrintAnEvacuationWithLateGrantsAndATakeover() {
        play("one grant in ten late, take-over after 0.3 s", List.of("dc-2"), replay -> {
            replay.grants().delayGrants(2_000, 10);
            replay.time().after(EVACUATED_MILLIS + 300 - replay.time().nowMillis(), replay::replaceController);
        });
    }

    @Test
    void shouldPrintTwoEvacuationsOneAfterTheOther() {
        play("two, 1 s apart", List.of("dc-2", "dc-3"), replay -> {});
    }

    private void play(String name, List<String> evacuated, Consumer<FleetReplay> faults) {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(1);
        double[] speeds = new double[SERVERS];
        Arrays.setAll(speeds, index -> 0.7 + 0.6 * random.nextDouble());
        FleetReplay replay = new FleetReplay(1, ROUTERS, speeds, true, DATA_CENTRES);
        replay.generateLoad(
                REQUESTS_PER_SECOND,
                100,
                EVACUATED_MILLIS + LIMIT_MILLIS,
                () -> (int) (KeyMap.KEY_COUNT * Math.pow(random.nextDouble(), 2)) % KeyMap.KEY_COUNT);
        replay.time().runUntilMillis(EVACUATED_MILLIS / 2);
        faults.accept(replay);
        replay.control().processorTime().clear();
        replay.time().runUntilMillis(EVACUATED_MILLIS);
        ProcessorTime processorTime = replay.control().processorTime();
        LOG.log(
                System.Logger.Level.INFO,
                String.format(Locale.ROOT, "%s: before, in %.0f s: %s", name, EVACUATED_MILLIS / 2_000, processorTime));
        processorTime.clear();
        int rangesBefore = replay.control().stored().assignments().size();
        for (int index = 0; index < evacuated.size(); index++) {
            String dataCentre = evacuated.get(index);
            replay.time().after(index * 1_000, () -> replay.evacuate(dataCentre));
        }
        replay.time().after(SAMPLE_MILLIS, () -> sample(replay, evacuated));
        replay.time().runUntilMillis(EVACUATED_MILLIS + LIMIT_MILLIS);

        LOG.log(
                System.Logger.Level.INFO,
                String.format(
                        Locale.ROOT,
                        "%s: last owner %.2f s, last hold %.2f s, processor time then %.0f ms, unheld in all %.3f s;"
                                + " ranges %d to %d; in all %s; %s",
                        name,
                        (ownedUntilMillis - EVACUATED_MILLIS) / 1e3,
                        (heldUntilMillis - EVACUATED_MILLIS) / 1e3,
                        unheldSeconds,
                        processorMillis,
                        rangesBefore,
                        replay.control().stored().assignments().size(),
                        processorTime,
                        replay.result()));
        assertThat(replay.result().doubleOwners()).isZero();
    }

    private void sample(FleetReplay replay, List<String> evacuated) {
        double nowMillis = replay.time().nowMillis();
        unheldSeconds += replay.control().unheldFraction() * SAMPLE_MILLIS / 1e3;
        if (evacuated.stream().anyMatch(dataCentre -> replay.rangesOwnedIn(dataCentre) > 0)) {
            ownedUntilMillis = nowMillis;
        }
        if (evacuated.stream().anyMatch(replay::holdsKeysIn)) {
            heldUntilMillis = nowMillis;
            processorMillis = replay.control().processorTime().totalMillis();
        }
        if (nowMillis + SAMPLE_MILLIS < EVACUATED_MILLIS + LIMIT_MILLIS) {
            replay.time().after(SAMPLE_MILLIS, () -> sample(replay, evacuated));
        }
    }
}
