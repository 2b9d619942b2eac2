package org.daisyscale.core.serving;

import java.util.List;
import java.util.Optional;

/**
 * Maps the keys of one service to the servers that own them. The ranges are in order of keys, don't overlap and cover
 * all keys. Immutable.
 *
 * @param service the service
 * @param version increases with each change in the store
 * @param progress increases with each range whose owner accepted its grant since this version was stored
 * @param nextFence higher than every fence ever used for this service
 * @param assignments the ranges with their owners, in order of keys
 */
public record KeyMap(String service, long version, int progress, long nextFence, List<KeyAssignment> assignments) {
    /** The number of keys; keys run from 0. Source: the range of the shard key header. */
    public static final int KEY_COUNT = 65_536;

    public KeyMap {
        assignments = List.copyOf(assignments);
    }

    /** Returns whether this map is newer than {@code other}, a map of the same service. */
    public boolean isNewerThan(KeyMap other) {
        return version > other.version || (version == other.version && progress > other.progress);
    }

    /** Returns the assignment that contains {@code key}; empty if no range covers the key. */
    public Optional<KeyAssignment> find(int key) {
        int low = 0;
        int high = assignments.size() - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            KeyAssignment assignment = assignments.get(middle);
            if (key < assignment.firstKey()) {
                high = middle - 1;
            } else if (key > assignment.lastKey()) {
                low = middle + 1;
            } else {
                return Optional.of(assignment);
            }
        }
        return Optional.empty();
    }
}
