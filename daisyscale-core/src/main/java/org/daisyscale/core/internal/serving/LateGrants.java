package org.daisyscale.core.internal.serving;

import java.util.HashMap;
import java.util.Map;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyMap;

/**
 * Tracks for how long grants to the predecessors of the moving ranges of one service may still take effect. Until then
 * no new owner gets such a range. Not thread-safe; confined to the core thread.
 */
final class LateGrants {
    private final Map<Long, Long> knownSinceNanosByFence = new HashMap<>();

    /** Records that {@code map} is in force. */
    void replace(KeyMap map, long nowNanos) {
        Map<Long, Long> previous = Map.copyOf(knownSinceNanosByFence);
        knownSinceNanosByFence.clear();
        for (KeyAssignment assignment : map.assignments()) {
            if (!assignment.isSettled() && assignment.lateGrantMillis() > 0) {
                long fence = assignment.fence();
                knownSinceNanosByFence.put(fence, previous.getOrDefault(fence, nowNanos));
            }
        }
    }

    /**
     * Returns for how much longer a grant to a predecessor of {@code assignment} may take effect, in milliseconds; the
     * map may have been stored earlier than this router learned of it.
     */
    long leftMillis(KeyAssignment assignment, long nowNanos) {
        Long knownSinceNanos = knownSinceNanosByFence.get(assignment.fence());
        if (knownSinceNanos == null) {
            return 0;
        }
        return Math.max(0, assignment.lateGrantMillis() - (nowNanos - knownSinceNanos) / 1_000_000L);
    }
}
