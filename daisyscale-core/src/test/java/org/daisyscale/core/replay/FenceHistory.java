package org.daisyscale.core.replay;

import java.util.ArrayList;
import java.util.List;

/** Records which process accepted which keys under which fence. Not thread-safe. */
final class FenceHistory {
    private final List<PastGrant> grants = new ArrayList<>();

    /** Records a grant; returns false if another process had accepted one of its keys under this or a higher fence. */
    boolean recordGrant(int firstKey, int lastKey, long fence, String process) {
        boolean isAbove = grants.stream()
                .noneMatch(before -> before.fence() >= fence
                        && !before.process().equals(process)
                        && before.firstKey() <= lastKey
                        && firstKey <= before.lastKey());
        PastGrant grant = new PastGrant(firstKey, lastKey, fence, process);
        if (!grants.contains(grant)) {
            grants.add(grant);
        }
        return isAbove;
    }

    /** Returns whether {@code process} accepted a grant with this fence. */
    boolean wasGrantedTo(long fence, String process) {
        return grants.stream()
                .anyMatch(before -> before.fence() == fence && before.process().equals(process));
    }

    private record PastGrant(int firstKey, int lastKey, long fence, String process) {}
}
