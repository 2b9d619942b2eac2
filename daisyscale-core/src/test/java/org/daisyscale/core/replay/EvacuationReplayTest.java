package org.daisyscale.core.replay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.daisyscale.core.serving.KeyMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Data centres are evacuated one after the other and taken back, beside faults (issue 63). */
class EvacuationReplayTest {
    private static final List<String> DATA_CENTRES = List.of("dc-1", "dc-2", "dc-3");
    private static final double[] SPEEDS = {1, 1, 0.5, 1, 1.5, 1, 1, 1, 1};
    private static final int EVACUATIONS = 3;
    private static final double PERIOD_MILLIS = 19_000;
    private static final double EVACUATED_MILLIS = 17_500;
    private static final double END_MILLIS = 3_000 + EVACUATIONS * PERIOD_MILLIS;
    private static final double CHECK_PERIOD_MILLIS = 20;

    /** Source: bound on requests to an evacuated data centre. */
    private static final double EVACUATE_MILLIS = 5_000;
    /** Source: longest hold of a grant, by a server's clock that may be 2% slow. */
    private static final double LONGEST_HOLD_MILLIS = 10_000 * 1.02;
    /** Until a new controller has the lease, and from the end of the longest hold until the map is stored. */
    private static final double MARGIN_MILLIS = 1_000;

    /** What was seen of one evacuation, in milliseconds of the replay. */
    private static final class Evacuation {
        private final String dataCentre;
        private final double startMillis;
        private double lastDisturbedMillis;
        private double lastOwnedMillis;

        private Evacuation(String dataCentre, double startMillis) {
            this.dataCentre = dataCentre;
            this.startMillis = startMillis;
            lastDisturbedMillis = startMillis;
            lastOwnedMillis = startMillis;
        }

        private double emptiedAfterMillis() {
            return lastOwnedMillis - startMillis;
        }

        private double emptiedAfterDisturbanceMillis() {
            return lastOwnedMillis - lastDisturbedMillis;
        }
    }

    private static FleetReplay replay(long seed, UniformRandomProvider random) {
        FleetReplay replay = new FleetReplay(seed, 3, SPEEDS, true, DATA_CENTRES);
        replay.generateLoad(40, 100, END_MILLIS, () -> random.nextInt(KeyMap.KEY_COUNT / 8));
        return replay;
    }

    private static List<Evacuation> planEvacuations(FleetReplay replay, UniformRandomProvider random) {
        List<Evacuation> evacuations = new ArrayList<>();
        int first = random.nextInt(DATA_CENTRES.size());
        for (int index = 0; index < EVACUATIONS; index++) {
            double startMillis = 3_000 + index * PERIOD_MILLIS + random.nextInt(1_000);
            Evacuation evacuation =
                    new Evacuation(DATA_CENTRES.get((first + index) % DATA_CENTRES.size()), startMillis);
            evacuations.add(evacuation);
            replay.time().after(startMillis, () -> {
                replay.evacuate(evacuation.dataCentre);
                watch(evacuation, replay);
            });
            replay.time().after(startMillis + EVACUATED_MILLIS, () -> replay.takeBack(evacuation.dataCentre));
        }
        return evacuations;
    }

    private static void watch(Evacuation evacuation, FleetReplay replay) {
        boolean isOwned = replay.rangesOwnedIn(evacuation.dataCentre) > 0 || replay.holdsKeysIn(evacuation.dataCentre);
        double nowMillis = replay.time().nowMillis();
        evacuation.lastOwnedMillis = isOwned ? nowMillis : evacuation.lastOwnedMillis;
        if (nowMillis + CHECK_PERIOD_MILLIS < evacuation.startMillis + EVACUATED_MILLIS) {
            replay.time().after(CHECK_PERIOD_MILLIS, () -> watch(evacuation, replay));
        }
    }

    private static void assertSound(FleetReplay replay) {
        assertThat(replay.result().doubleOwners()).isZero();
        assertThat(replay.result().reusedFences()).isZero();
        assertThat(replay.result().answeredRatio()).isPositive();
    }

    @ParameterizedTest
    @MethodSource("org.daisyscale.core.replay.OwnershipUnderFaultsTest#seeds")
    void shouldEmptyAnEvacuatedDataCentreInTimeWhenItsOwnersAnswer(long seed) {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        FleetReplay replay = replay(seed, random);
        List<Evacuation> evacuations = planEvacuations(replay, random);

        replay.time().runUntilMillis(END_MILLIS);

        assertSound(replay);
        assertThat(evacuations)
                .extracting(Evacuation::emptiedAfterMillis)
                .allMatch(millis -> millis > 0 && millis < EVACUATE_MILLIS);
    }

    /** Grants to owners that answer their releases take effect late. */
    @ParameterizedTest
    @MethodSource("org.daisyscale.core.replay.OwnershipUnderFaultsTest#seeds")
    void shouldEmptyAnEvacuatedDataCentreInTimeWhenGrantsTakeEffectLate(long seed) {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        FleetReplay replay = replay(seed, random);
        List<Evacuation> evacuations = planEvacuations(replay, random);
        replay.time().after(2_000, () -> replay.grants().delayGrants(2_000));

        replay.time().runUntilMillis(END_MILLIS);

        assertSound(replay);
        assertThat(evacuations)
                .extracting(Evacuation::emptiedAfterMillis)
                .allMatch(millis -> millis > 0 && millis < LONGEST_HOLD_MILLIS + MARGIN_MILLIS);
    }

    /**
     * Owners in the evacuated data centre give no answer while grants to them take effect late, and controllers that
     * know nothing of these grants take over, some before they have heard of the evacuation.
     */
    @ParameterizedTest
    @MethodSource("org.daisyscale.core.replay.OwnershipUnderFaultsTest#seeds")
    void shouldEmptyAnEvacuatedDataCentreSafelyWhenItsOwnersGiveNoAnswerAndControllersChange(long seed) {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        FleetReplay replay = replay(seed, random);
        List<Evacuation> evacuations = planEvacuations(replay, random);
        replay.time().after(2_000, () -> replay.grants().delayGrants(2_000));
        for (Evacuation evacuation : evacuations) {
            int first = DATA_CENTRES.indexOf(evacuation.dataCentre);
            String serverId = "server-" + (10 + first + DATA_CENTRES.size() * random.nextInt(3));
            double silentMillis = 1_000 + random.nextInt(4_000);
            replay.time()
                    .after(
                            evacuation.startMillis - random.nextInt(500),
                            () -> replay.grants().partitionFromController(serverId, silentMillis));
            for (int takeover = 0; takeover < 2; takeover++) {
                double atMillis = evacuation.startMillis + takeover * 1_500 + random.nextInt(800);
                double evacuationsDelayMillis = random.nextInt(1_000);
                evacuation.lastDisturbedMillis = atMillis + evacuationsDelayMillis;
                replay.time().after(atMillis, () -> replay.replaceController(evacuationsDelayMillis));
            }
        }

        replay.time().runUntilMillis(END_MILLIS);

        assertSound(replay);
        assertThat(evacuations)
                .extracting(Evacuation::emptiedAfterDisturbanceMillis)
                .allMatch(millis -> millis < LONGEST_HOLD_MILLIS + MARGIN_MILLIS);
        assertThat(evacuations).extracting(Evacuation::emptiedAfterMillis).allMatch(millis -> millis > 0);
    }
}
