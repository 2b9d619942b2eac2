package org.daisyscale.core.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.daisyscale.core.error.CoreErrorCode;

/** Means of replays with several seeds. Not thread-safe. */
final class HotRangeMean {
    private final List<HotRangeScenario> replays = new ArrayList<>();

    void add(HotRangeScenario replay) {
        replays.add(replay);
    }

    double mean(ToDoubleFunction<HotRangeScenario> figure) {
        return replays.stream().mapToDouble(figure).average().orElse(0);
    }

    double withoutRoomMillis() {
        return mean(HotRangeScenario::withoutRoomMillis);
    }

    double movedRatio() {
        return mean(replay -> replay.ownership().movedRatio());
    }

    double returnedRatio() {
        return mean(replay -> replay.ownership().returnedRatio());
    }

    double doubleOwners() {
        return mean(replay -> replay.result().doubleOwners());
    }

    @Override
    public String toString() {
        return ("firstRoomMillis=%s withoutRoomMillis=%.0f moves=%.1f moved=%.3f returned=%.3f noOwner=%.1f"
                        + " inObjective=%.4f answered=%.4f doubleOwners=%.0f")
                .formatted(
                        replays.stream()
                                .map(HotRangeScenario::firstRoomMillis)
                                .map(millis -> millis.isNaN() ? -1 : Math.round(millis))
                                .toList(),
                        withoutRoomMillis(),
                        mean(replay -> replay.ownership().moves()),
                        movedRatio(),
                        returnedRatio(),
                        mean(replay -> replay.result().rejections(CoreErrorCode.NO_OWNER)),
                        mean(replay -> replay.result().withinObjectiveRatio()),
                        mean(replay -> replay.result().answeredRatio()),
                        doubleOwners());
    }
}
