package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.daisyscale.router.internal.serving.RestoredStoreModel.Fault;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against two servers that hold one key, a fence that is used twice, and keys that nobody holds again, when the
 * store is restored from an older copy at any step of grants, moves and elections.
 */
class RestoredStoreModelTest {
    private static final int EPISODES = 60;
    private static final long DISTURBED_MILLIS = 40_000;
    /** A claim and the wait for the holds of a lost map, twice, since a router may have to try again. */
    private static final long QUIET_MILLIS = 30_000;

    private static void run(long seed, Fault fault) {
        new RestoredStoreModel(new SplittableRandom(seed), fault).run(DISTURBED_MILLIS, QUIET_MILLIS);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void shouldNeverLetTwoServersHoldAKeyAndServeAllKeysInTheEnd(long seed) {
        for (int episode = 0; episode < EPISODES; episode++) {
            long episodeSeed = seed * EPISODES + episode;
            try {
                run(episodeSeed, Fault.NONE);
            } catch (AssertionError e) {
                throw new AssertionError("seed " + episodeSeed + ": " + e.getMessage(), e);
            }
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"FENCES_WITHOUT_ERA", "TRUSTED_LEASE"})
    void shouldFindThePlantedFault(Fault fault) {
        int found = 0;
        for (int episode = 0; episode < EPISODES; episode++) {
            try {
                run(episode, fault);
            } catch (AssertionError e) {
                found++;
            }
        }
        assertThat(found).as("episodes that found %s", fault).isPositive();
    }
}
