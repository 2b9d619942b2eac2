package org.daisyscale.core.replay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.LongStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.daisyscale.core.serving.KeyMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class OwnershipUnderFaultsTest {
    private static final int SERVERS = 6;
    private static final int FAULTS = 12;
    private static final double END_MILLIS = 60_000;

    /** Returns the seeds 1 to 12, or those of a range such as -Ddaisyscale.seeds=100..400 for long manual runs. */
    static LongStream seeds() {
        String[] bounds = System.getProperty("daisyscale.seeds", "1..12").split("\\.\\.");
        return LongStream.rangeClosed(Long.parseLong(bounds[0]), Long.parseLong(bounds[1]));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void shouldNeverLetTwoServersHoldAKeyDuringPartitionsCrashesAndControllerChanges(long seed) {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        FleetReplay replay = new FleetReplay(seed, 3, new double[] {1, 1, 0.5, 1, 1.5, 1}, true);
        replay.generateLoad(40, 100, END_MILLIS, () -> random.nextInt(KeyMap.KEY_COUNT / 8));
        for (int fault = 0; fault < FAULTS; fault++) {
            double atMillis = 3_000 + random.nextDouble() * (END_MILLIS - 10_000);
            String serverId = "server-" + (10 + random.nextInt(SERVERS));
            replay.time().after(atMillis, () -> inject(random.nextInt(4), serverId, replay, random));
        }

        replay.time().runUntilMillis(END_MILLIS);

        assertThat(replay.result().doubleOwners()).isZero();
        assertThat(replay.result().answeredRatio()).isPositive();
    }

    /** Guards against renewals that reach a process other than the one that accepted the grant at this address. */
    @ParameterizedTest
    @MethodSource("seeds")
    void shouldNeverGiveAFenceToTwoProcessesWhenServersRestartAtTheirAddresses(long seed) {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        FleetReplay replay = new FleetReplay(seed, 3, new double[] {1, 1, 0.5, 1, 1.5, 1}, true);
        replay.generateLoad(40, 100, END_MILLIS, () -> random.nextInt(KeyMap.KEY_COUNT / 8));
        for (int server = 0; server < SERVERS; server++) {
            double atMillis = 3_000 + random.nextDouble() * (END_MILLIS - 20_000);
            String serverId = "server-" + (10 + server);
            String newId = random.nextBoolean() ? serverId : serverId + "-again";
            double downMillis = random.nextDouble() * 2_000;
            double registrationDelayMillis = random.nextDouble() * 3_000;
            replay.time().after(atMillis, () -> replay.restart(serverId, newId, downMillis, registrationDelayMillis));
            replay.time()
                    .after(
                            atMillis + random.nextInt(8_000) - 2_000,
                            () -> inject(random.nextInt(2), serverId, replay, random));
        }

        replay.time().runUntilMillis(END_MILLIS);

        assertThat(replay.result().reusedFences()).isZero();
        assertThat(replay.result().doubleOwners()).isZero();
        assertThat(replay.result().answeredRatio()).isPositive();
    }

    /** Guards against a grant that takes effect at a server after the server has released its keys. */
    @ParameterizedTest
    @MethodSource("seeds")
    void shouldNeverLetTwoServersHoldAKeyWhenGrantsTakeEffectAfterTheReleaseOfTheirKeys(long seed) {
        FleetReplay replay = playDelayedGrantsAndDrains(seed, false);

        assertThat(replay.result().doubleOwners()).isZero();
        assertThat(replay.result().reusedFences()).isZero();
        assertThat(replay.result().answeredRatio()).isPositive();
    }

    /** Guards against a copied answer that passes for the proof that a grant has taken effect (issue 46). */
    @ParameterizedTest
    @MethodSource("seeds")
    void shouldNeverLetTwoServersHoldAKeyWhenCopiedAnswersPassForThoseToDelayedGrants(long seed) {
        FleetReplay replay = playDelayedGrantsAndDrains(seed, true);

        assertThat(replay.result().doubleOwners()).isZero();
        assertThat(replay.result().reusedFences()).isZero();
        assertThat(replay.result().answeredRatio()).isPositive();
    }

    /**
     * Guards against a controller that gives a range on while a grant of the one before it may still take effect (issue
     * 57).
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void shouldNeverLetTwoServersHoldAKeyWhenControllersChangeWhileGrantsTakeEffectLate(long seed) {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        FleetReplay replay = new FleetReplay(seed, 3, new double[] {1, 1, 0.5, 1, 1.5, 1}, true);
        replay.generateLoad(40, 100, END_MILLIS, () -> random.nextInt(KeyMap.KEY_COUNT / 8));
        replay.time().after(3_000, () -> replay.grants().delayGrants(2_000));
        for (int fault = 0; fault < FAULTS; fault++) {
            double atMillis = 3_000 + random.nextDouble() * (END_MILLIS - 10_000);
            String serverId = "server-" + (10 + random.nextInt(SERVERS));
            replay.time().after(atMillis, () -> replay.drain(serverId));
            replay.time().after(atMillis + random.nextInt(800), replay::replaceController);
            replay.time().after(atMillis + 1_500 + random.nextInt(800), replay::replaceController);
            replay.time().after(atMillis + 3_000, () -> replay.register(serverId));
        }

        replay.time().runUntilMillis(END_MILLIS);

        assertThat(replay.result().doubleOwners()).isZero();
        assertThat(replay.result().reusedFences()).isZero();
        assertThat(replay.result().answeredRatio()).isPositive();
    }

    private static FleetReplay playDelayedGrantsAndDrains(long seed, boolean hasCopiedAnswers) {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        FleetReplay replay = new FleetReplay(seed, 3, new double[] {1, 1, 0.5, 1, 1.5, 1}, true);
        replay.generateLoad(40, 100, END_MILLIS, () -> random.nextInt(KeyMap.KEY_COUNT / 8));
        replay.time().after(3_000, () -> replay.grants().delayGrants(2_000));
        if (hasCopiedAnswers) {
            replay.grants().copyAnswers();
        }
        for (int fault = 0; fault < FAULTS; fault++) {
            double atMillis = 3_000 + random.nextDouble() * (END_MILLIS - 10_000);
            String serverId = "server-" + (10 + random.nextInt(SERVERS));
            replay.time().after(atMillis, () -> replay.drain(serverId));
            replay.time().after(atMillis + 3_000, () -> replay.register(serverId));
        }
        replay.time().runUntilMillis(END_MILLIS);
        return replay;
    }

    private static void inject(int kind, String serverId, FleetReplay replay, UniformRandomProvider random) {
        switch (kind) {
            case 0 -> replay.grants().partitionFromController(serverId, 1_000 + random.nextInt(8_000));
            case 1 -> replay.replaceController();
            case 2 -> replay.deregister(serverId);
            default -> replay.server(serverId).crash();
        }
    }
}
