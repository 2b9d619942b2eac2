package org.daisyscale.core.replay;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyMap;

/** What callers saw in a replay. Used by one thread. */
final class ReplayResult {
    private final Map<CoreErrorCode, Integer> refusals = new EnumMap<>(CoreErrorCode.class);
    private int inObjective;
    private int late;
    private int lost;
    private int doubleOwners;
    private int reusedFences;
    private double movedShare;

    void answered(double tookMillis) {
        if (tookMillis <= FleetReplay.OBJECTIVE_MILLIS) {
            inObjective++;
        } else {
            late++;
        }
    }

    void refusal(CoreErrorCode reason) {
        refusals.merge(reason, 1, Integer::sum);
    }

    void lost() {
        lost++;
    }

    void reusedFence() {
        reusedFences++;
    }

    /** The grants that a process took with a fence not above those with which others had the keys. */
    int reusedFences() {
        return reusedFences;
    }

    void doubleOwner() {
        doubleOwners++;
    }

    void moved(KeyMap before, KeyMap after) {
        if (before == null) {
            return;
        }
        Set<KeyAssignment> known = new HashSet<>(before.assignments());
        movedShare += after.assignments().stream()
                        .filter(assignment -> !assignment.isSettled() && !known.contains(assignment))
                        .mapToInt(KeyAssignment::keyCount)
                        .sum()
                / (double) KeyMap.KEY_COUNT;
    }

    /** The share of all callers that were answered within the objective. */
    double inObjectiveShare() {
        return inObjective / (double) Math.max(1, inObjective + late + lost);
    }

    /** The share of all callers that were answered at all. */
    double answeredShare() {
        return (inObjective + late) / (double) Math.max(1, inObjective + late + lost);
    }

    int doubleOwners() {
        return doubleOwners;
    }

    double movedShare() {
        return movedShare;
    }

    @Override
    public String toString() {
        return "inObjective=%.3f answered=%.3f lost=%d moved=%.2f refusals=%s"
                .formatted(inObjectiveShare(), answeredShare(), lost, movedShare, refusals);
    }
}
