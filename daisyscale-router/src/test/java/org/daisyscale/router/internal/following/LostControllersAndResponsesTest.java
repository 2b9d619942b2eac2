package org.daisyscale.router.internal.following;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against servers that left and are in use again, and against changes that are known too late, when controllers
 * are lost and replaced. Runs in simulated time; {@code -Dlost.controllers.seeds=60} plays more seeds.
 */
class LostControllersAndResponsesTest {
    private static final int ROUTER_COUNT = 6;
    private static final long LIMIT_MILLIS = 2_000;
    private static final long DAY_MILLIS = 40_000;
    private static final long CONTROL_MILLIS = 1_500;
    private static final long WARM_UP_MILLIS = 3_000;

    private final Map<String, SimulatedRouter> routerById = new TreeMap<>();
    private final List<String> late = new ArrayList<>();
    private SimulatedTime time;
    private SimulatedStore store;
    private int lostCount;

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("lost.controllers.seeds", 20));
    }

    private void start(long seed, double lossRatio) {
        time = new SimulatedTime(seed);
        store = new SimulatedStore(time, lossRatio);
        for (int index = 0; index < ROUTER_COUNT; index++) {
            String id = "r" + index;
            routerById.put(id, new SimulatedRouter(id, time, store, routerById));
        }
        setController("r0");
        time.repeat(100, 200, store::change);
        time.repeat(40, 40, store::changeElsewhere);
    }

    private void setController(String id) {
        routerById.values().forEach(router -> time.after(time.random().nextInt(60), () -> router.setController(id)));
    }

    /** Kills the controller; the last two routers stay. */
    private void loseController() {
        if (lostCount < ROUTER_COUNT - 2) {
            routerById.get("r" + lostCount).kill();
            lostCount++;
            time.after(CONTROL_MILLIS, () -> setController("r" + lostCount));
        }
    }

    private void recordLate() {
        store.itemsOlderThan(LIMIT_MILLIS)
                .forEach(item -> routerById.forEach((id, router) -> {
                    if (router.lacks(item)) {
                        late.add("%s lacks %s at revision %d after %d ms"
                                .formatted(id, item.key(), item.revision(), time.nowMillis()));
                    }
                }));
    }

    private List<String> itemsThatCameBack() {
        return routerById.values().stream()
                .flatMap(router -> router.itemsThatCameBack().stream())
                .toList();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void shouldNeverBringBackAServerWhenControllersAndResponsesAreLost(long seed) {
        start(seed, 0.02);
        time.repeat(5_000, 8_000, this::loseController);

        time.runFor(DAY_MILLIS);

        assertThat(itemsThatCameBack()).isEmpty();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void shouldKnowEachWrittenServerInTimeWhenControllersAreLost(long seed) {
        start(seed, 0);
        time.runFor(WARM_UP_MILLIS);
        time.repeat(5_000, 8_000, this::loseController);
        time.repeat(20, 30, this::recordLate);

        time.runFor(DAY_MILLIS);

        assertThat(late).isEmpty();
    }
}
