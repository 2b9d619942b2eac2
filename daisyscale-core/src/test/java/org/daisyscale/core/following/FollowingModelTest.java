package org.daisyscale.core.following;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Compares routers that follow a prefix with a list of versions, under random faults. Whatever happens, no view goes
 * back, and no age is below the time since something was reported that the view lacks. A router that is not frozen
 * knows each change within the time limit under either of two premises:
 *
 * <ul>
 *   <li>The store answers within 100 ms, with a state that is at most 50 ms older than the call; a call fails within
 *       600 ms or is a watch that is never answered, and of two calls of a router at most one fails.
 *   <li>The controller has the store as above, without failures; of two messages of a kind between it and the router
 *       one arrives within 100 ms.
 * </ul>
 *
 * More seeds by hand: {@code -Dfollowing.model.seeds=50}; the first one: {@code -Dfollowing.model.first=1}.
 */
class FollowingModelTest {
    private static final long CHANGES_START_MILLIS = 5_000;
    private static final long CHANGES_END_MILLIS = 20_000;
    private static final long QUIET_START_MILLIS = 28_000;
    private static final long QUIET_END_MILLIS = 38_000;
    private static final int MAX_CHANGE_INTERVAL_MILLIS = 300;
    /** The time limit for a change to be known. */
    private static final long APPLY_LIMIT_MILLIS = 2_000;

    private static final int ROUTER_COUNT = 5;
    private static final int KEY_COUNT = 8;

    static Stream<Arguments> runs() {
        long first = Long.getLong("following.model.first", 1);
        return LongStream.range(first, first + Long.getLong("following.model.seeds", 10))
                .boxed()
                .flatMap(seed -> Stream.of(
                                ModelFaults.STORE_REACHED, ModelFaults.CONTROLLER_REACHED, ModelFaults.ANYTHING)
                        .map(faults -> Arguments.of(seed, faults)));
    }

    @ParameterizedTest
    @MethodSource("runs")
    void shouldKnowEachChangeInTimeAndNeverGoBack(long seed, ModelFaults faults) {
        FollowingModel model = new FollowingModel(seed, faults, ROUTER_COUNT, KEY_COUNT);

        model.start();
        model.change(CHANGES_START_MILLIS, CHANGES_END_MILLIS, MAX_CHANGE_INTERVAL_MILLIS, APPLY_LIMIT_MILLIS);
        model.runUntil(CHANGES_END_MILLIS + APPLY_LIMIT_MILLIS + 1);

        assertThat(model.checks().checkedChangeCount()).isGreaterThan(50);
        if (faults.isLimitKept()) {
            assertThat(model.checks().missedReportCount()).as(model::describe).isPositive();
            assertThat(model.checks().lateChanges()).isEmpty();
        }

        model.endFaults();
        model.runUntil(QUIET_START_MILLIS);
        Map<String, Long> callsBefore = model.callCounts();
        model.runUntil(QUIET_END_MILLIS);

        assertThat(model.views()).allMatch(model.storedItems()::equals);
        assertThat(callsSince(callsBefore, model))
                .as("calls on a quiet day, by router")
                .allSatisfy((id, calls) -> assertThat(calls)
                        .isLessThanOrEqualTo(
                                model.isController(id)
                                        ? (QUIET_END_MILLIS - QUIET_START_MILLIS) / ViewFollower.CONTROLLER_WAIT_MILLIS
                                        : 0));
    }

    private static Map<String, Long> callsSince(Map<String, Long> before, FollowingModel model) {
        Map<String, Long> calls = new TreeMap<>();
        model.callCounts().forEach((id, count) -> calls.put(id, count - before.get(id)));
        return calls;
    }
}
