package org.daisyscale.core.replay;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyMap;

/** Counts the outcomes of a replay. Not thread-safe. */
final class ReplayResult {
    private final Map<CoreErrorCode, Integer> rejections = new EnumMap<>(CoreErrorCode.class);
    private final Map<String, Integer> answeredByPath = new HashMap<>();
    private final Map<String, Integer> lostByPath = new HashMap<>();
    private int withinObjectiveCount;
    private int lateCount;
    private int lostCount;
    private int doubleOwners;
    private int reusedFences;
    private double movedRatio;

    void recordAnswered(String path, double latencyMillis) {
        answeredByPath.merge(path, 1, Integer::sum);
        if (latencyMillis <= FleetReplay.OBJECTIVE_MILLIS) {
            withinObjectiveCount++;
        } else {
            lateCount++;
        }
    }

    void recordRejection(CoreErrorCode reason) {
        rejections.merge(reason, 1, Integer::sum);
    }

    void recordLost(String path) {
        lostByPath.merge(path, 1, Integer::sum);
        lostCount++;
    }

    void recordReusedFence() {
        reusedFences++;
    }

    /** Returns how many grants a process accepted with a fence not above those of other processes for the same keys. */
    int reusedFences() {
        return reusedFences;
    }

    void recordDoubleOwner() {
        doubleOwners++;
    }

    void recordMoves(KeyMap before, KeyMap after) {
        if (before == null) {
            return;
        }
        Set<KeyAssignment> known = new HashSet<>(before.assignments());
        movedRatio += after.assignments().stream()
                        .filter(assignment -> !assignment.isSettled() && !known.contains(assignment))
                        .mapToInt(KeyAssignment::keyCount)
                        .sum()
                / (double) KeyMap.KEY_COUNT;
    }

    /** Returns the fraction of callers that were answered within the latency objective. */
    double withinObjectiveRatio() {
        return withinObjectiveCount / (double) Math.max(1, withinObjectiveCount + lateCount + lostCount);
    }

    /** Returns the fraction of callers that were answered at all. */
    double answeredRatio() {
        return (withinObjectiveCount + lateCount) / (double) Math.max(1, withinObjectiveCount + lateCount + lostCount);
    }

    /** Returns the fraction of the callers of {@code path} that were answered at all. */
    double answeredRatio(String path) {
        double answered = answeredByPath.getOrDefault(path, 0);
        return answered / Math.max(1, answered + lostByPath.getOrDefault(path, 0));
    }

    int doubleOwners() {
        return doubleOwners;
    }

    double movedRatio() {
        return movedRatio;
    }

    @Override
    public String toString() {
        return "inObjective=%.3f answered=%.3f lost=%d moved=%.2f refusals=%s"
                .formatted(withinObjectiveRatio(), answeredRatio(), lostCount, movedRatio, rejections);
    }
}
