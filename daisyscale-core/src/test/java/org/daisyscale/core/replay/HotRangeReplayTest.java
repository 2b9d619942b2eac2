package org.daisyscale.core.replay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Replays the loads of docs/HARD-LOAD.md, part 4, property 1: hot ranges, a hot key and the disturbances beside. */
class HotRangeReplayTest {
    private static final int SEEDS = 6;
    private static final double START_MILLIS = 15_000;
    private static final double HOT_MILLIS = 5_000;
    private static final double DAY_END_MILLIS = 48_000;
    private static final int RANGE_KEYS = 200;
    private static final double RANGE_FRACTION = 0.33;
    private static final double KEY_FRACTION = 0.16;
    /** Target: a hot range has owners with room within 1 s of its start. */
    private static final double MAX_WITHOUT_ROOM_MILLIS = 1_000;
    /** Target: fewer keys than one server owns on average change owner. */
    private static final double SERVER_SHARE = 1.0 / HotRangeScenario.SERVERS;

    /** Guards against a hot range that stays at its first owner while other servers are free. */
    @Test
    void shouldSpreadAHotRangeWhileOtherServersAreFree() {
        HotRangeMean mean = replay(START_MILLIS, START_MILLIS + 2 * HOT_MILLIS, HotRangeReplayTest::heatRange);

        assertThat(mean.doubleOwners()).as(mean.toString()).isZero();
        assertThat(mean.withoutRoomMillis()).as(mean.toString()).isLessThan(MAX_WITHOUT_ROOM_MILLIS);
        assertThat(mean.movedRatio()).as(mean.toString()).isLessThan(SERVER_SHARE);
        assertThat(mean.returnedRatio()).as(mean.toString()).isZero();
    }

    /** Guards against moves of many keys for one; its owner gives away at most what two servers own. */
    @Test
    void shouldMoveFewKeysToGiveAHotKeyRoom() {
        HotRangeMean mean = replay(
                START_MILLIS,
                START_MILLIS + 2 * HOT_MILLIS,
                scenario -> scenario.heat(KEY_FRACTION, 1, START_MILLIS, HOT_MILLIS));

        assertThat(mean.doubleOwners()).as(mean.toString()).isZero();
        assertThat(mean.movedRatio()).as(mean.toString()).isLessThan(2 * SERVER_SHARE);
        assertThat(mean.returnedRatio()).as(mean.toString()).isZero();
    }

    /** Guards against keys that wait for each other's moves when many have to move at once. */
    @Test
    void shouldSpreadAHotRangeBesideAnEvacuationAndARelease() {
        HotRangeMean mean = replay(8_000, DAY_END_MILLIS, scenario -> {
            scenario.release(9_000, 1_200);
            scenario.evacuate("dc-2", START_MILLIS - 500, 8_000);
            heatRange(scenario);
        });

        assertThat(mean.doubleOwners()).as(mean.toString()).isZero();
    }

    /** Guards against moves that random fluctuation causes; each costs more than it gains. */
    @Test
    void shouldMoveFewKeysWhileTheLoadIsCalm() {
        HotRangeMean mean = replay(3_000, DAY_END_MILLIS, scenario -> {});

        assertThat(mean.doubleOwners()).as(mean.toString()).isZero();
        assertThat(mean.movedRatio()).as(mean.toString()).isLessThan(SERVER_SHARE);
        assertThat(mean.returnedRatio()).as(mean.toString()).isZero();
    }

    private static void heatRange(HotRangeScenario scenario) {
        scenario.heat(RANGE_FRACTION, RANGE_KEYS, START_MILLIS, HOT_MILLIS);
    }

    private static HotRangeMean replay(double countMillis, double endMillis, Consumer<HotRangeScenario> disturbances) {
        HotRangeMean mean = new HotRangeMean();
        for (int seed = 1; seed <= SEEDS; seed++) {
            HotRangeScenario scenario = new HotRangeScenario(seed);
            disturbances.accept(scenario);
            scenario.run(countMillis, endMillis);
            mean.add(scenario);
        }
        return mean;
    }
}
