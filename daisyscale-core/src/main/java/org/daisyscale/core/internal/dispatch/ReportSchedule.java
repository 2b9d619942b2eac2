package org.daisyscale.core.internal.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.daisyscale.core.internal.ownership.ServerState;
import org.daisyscale.core.ownership.SliceAssignment;

/**
 * Decides which servers a dispatcher reports in a round: those with a change that the controller acts on, those that
 * are unreachable or draining, and every other server once in {@value #REFRESH_ROUNDS} rounds, spread over the rounds.
 * Not thread-safe; confined to the core thread.
 */
final class ReportSchedule {
    static final int REFRESH_ROUNDS = 100;

    private final Map<String, ReportedState> reportedByServer = new HashMap<>();
    private long round;

    /** Starts the next round of reports. */
    void nextRound() {
        round++;
    }

    /** Discards the reported states, so that a new controller gets a report on every server. */
    void reset() {
        reportedByServer.clear();
    }

    /** Returns whether the load of the hottest keys is due in this round. */
    boolean areHotKeysDue() {
        return round % REFRESH_ROUNDS == 0;
    }

    /** Returns whether {@code server} must be reported in this round, and records its state as reported. */
    boolean isDue(String server, ServerState state, boolean isReachable, List<SliceAssignment> slices) {
        ReportedState now = new ReportedState(
                isReachable, state.status().incarnation(), state.status().isDraining(), slices);
        boolean hasChanged = !now.equals(reportedByServer.put(server, now));
        boolean isRefreshDue = Math.floorMod(round + server.hashCode(), REFRESH_ROUNDS) == 0;
        return hasChanged || isRefreshDue || !isReachable || now.isDraining();
    }

    private record ReportedState(
            boolean isReachable, String incarnation, boolean isDraining, List<SliceAssignment> slices) {}
}
