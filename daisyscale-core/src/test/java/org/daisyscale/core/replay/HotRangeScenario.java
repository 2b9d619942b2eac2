package org.daisyscale.core.replay;

import java.util.Arrays;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.daisyscale.core.serving.KeyMap;

/**
 * A service of 18 servers in three data centres, utilised to a third as in the measured deployment, with hot keys and
 * disturbances. Not thread-safe.
 */
final class HotRangeScenario {
    static final int SERVERS = 18;
    private static final int SLOTS = 3;
    private static final int ROUTERS = 10;
    private static final int DATA_CENTRES = 3;
    private static final double REQUESTS_PER_SECOND = 110;
    private static final double WORK_MILLIS = 120;
    /** Mean factor of the work, a fifth of which takes three times as long. */
    private static final double NOISE_FACTOR = 1.4;
    /** An owner has room below this utilisation; above it, most requests wait for longer than the objective allows. */
    private static final double ROOM_UTILISATION = 0.9;
    /** The owner of a key that is too hot for any server has room for it if it has at most this much to do besides. */
    private static final double INDIVISIBLE_MARGIN = 1.1;

    private static final double POLL_MILLIS = 20;
    private static final long COLD_MILLIS = 3_000;

    private final FleetReplay replay;
    private final UniformRandomProvider random;
    private KeyDemand demand = KeyDemand.even();
    private double hotStartMillis;
    private double withoutRoomMillis;
    private double firstRoomMillis = Double.NaN;

    HotRangeScenario(long seed) {
        double[] speeds = new double[SERVERS];
        Arrays.fill(speeds, 1);
        random = RandomSource.SPLIT_MIX_64.create(seed * 31);
        replay = new FleetReplay(seed, ROUTERS, speeds, true, DATA_CENTRES);
    }

    /** Sends {@code fraction} of the requests to {@code keyCount} adjacent keys from {@code atMillis} on. */
    void heat(double fraction, int keyCount, double atMillis, double forMillis) {
        int firstKey = random.nextInt(KeyMap.KEY_COUNT - keyCount);
        replay.time().at((long) (atMillis * 1e6), () -> {
            demand = KeyDemand.hot(fraction, firstKey, keyCount);
            hotStartMillis = atMillis;
            pollRoom(atMillis + forMillis);
        });
        replay.time().at((long) ((atMillis + forMillis) * 1e6), () -> demand = KeyDemand.even());
    }

    private void pollRoom(double endMillis) {
        if (replay.time().nowMillis() >= endMillis) {
            return;
        }
        if (hasRoom()) {
            firstRoomMillis =
                    Double.isNaN(firstRoomMillis) ? replay.time().nowMillis() - hotStartMillis : firstRoomMillis;
        } else {
            withoutRoomMillis += POLL_MILLIS;
        }
        replay.time().after(POLL_MILLIS, () -> pollRoom(endMillis));
    }

    private boolean hasRoom() {
        double capacity = SLOTS * 1_000 / (WORK_MILLIS * NOISE_FACTOR);
        double limit =
                Math.max(ROOM_UTILISATION * capacity, INDIVISIBLE_MARGIN * demand.largestShare() * REQUESTS_PER_SECOND);
        return demand.byOwner(replay.published()).values().stream()
                .allMatch(share -> share * REQUESTS_PER_SECOND <= limit);
    }

    void evacuate(String dataCentre, double atMillis, double forMillis) {
        replay.time().at((long) (atMillis * 1e6), () -> replay.evacuate(Set.of(dataCentre)));
        replay.time().at((long) ((atMillis + forMillis) * 1e6), () -> replay.evacuate(Set.of()));
    }

    /** Replaces the servers one after the other from {@code atMillis} on; each drains for a second before. */
    void release(double atMillis, double intervalMillis) {
        for (int server = 0; server < SERVERS; server++) {
            String id = "server-" + (10 + server);
            double startMillis = atMillis + server * intervalMillis;
            replay.time().at((long) (startMillis * 1e6), () -> replay.drain(id));
            replay.time().at((long) ((startMillis + 1_000) * 1e6), () -> replay.restart(id, id, 800, 200, COLD_MILLIS));
        }
    }

    /** Runs the load until {@code endMillis} and counts from {@code countMillis} on. */
    void run(double countMillis, double endMillis) {
        replay.time().runUntilMillis(2_000);
        replay.generateLoad(REQUESTS_PER_SECOND, WORK_MILLIS, endMillis, () -> demand.sample(random));
        replay.time().runUntilMillis(countMillis);
        replay.ownership().restartCount();
        replay.result().restartCount();
        replay.time().runUntilMillis(endMillis + 3_000);
    }

    ReplayResult result() {
        return replay.result();
    }

    OwnershipChanges ownership() {
        return replay.ownership();
    }

    /** Returns how long after its start the hot range first had owners with room for it; NaN if it never had. */
    double firstRoomMillis() {
        return firstRoomMillis;
    }

    /** Returns for how long some owner had no room while keys were hot. */
    double withoutRoomMillis() {
        return withoutRoomMillis;
    }
}
