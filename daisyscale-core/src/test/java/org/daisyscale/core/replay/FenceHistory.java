package org.daisyscale.core.replay;

import java.util.ArrayList;
import java.util.List;

/** Which process took which keys with which fence. Used by one thread. */
final class FenceHistory {
    private final List<Taken> taken = new ArrayList<>();

    /** Notes a grant; false when another process took one of the keys with this fence or a higher one before. */
    boolean isTaken(int firstKey, int lastKey, long fence, String process) {
        boolean isAbove = taken.stream()
                .noneMatch(before -> before.fence() >= fence
                        && !before.process().equals(process)
                        && before.firstKey() <= lastKey
                        && firstKey <= before.lastKey());
        Taken grant = new Taken(firstKey, lastKey, fence, process);
        if (!taken.contains(grant)) {
            taken.add(grant);
        }
        return isAbove;
    }

    /** Whether {@code process} took a grant with this fence. */
    boolean isTakenBy(long fence, String process) {
        return taken.stream()
                .anyMatch(before -> before.fence() == fence && before.process().equals(process));
    }

    private record Taken(int firstKey, int lastKey, long fence, String process) {}
}
