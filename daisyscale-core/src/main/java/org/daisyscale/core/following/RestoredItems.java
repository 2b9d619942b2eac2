package org.daisyscale.core.following;

import java.util.LinkedHashMap;
import java.util.Map;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.EraRevision;

/**
 * The items that a restored store has in another version than before, and of which the listener of a view has not been
 * told, because they may be written again. Not thread-safe; confined to one thread.
 */
final class RestoredItems {
    /** The longest time since each item was written when it was read, in milliseconds. */
    private final Map<String, Long> maxAgeMillisByKey = new LinkedHashMap<>();

    /** Returns whether {@code before} is a revision of an older era than {@code after}. */
    static boolean isOfOlderEra(long before, long after) {
        return EraRevision.eraOf(before) < EraRevision.eraOf(after);
    }

    /**
     * Returns whether the listener must not be told of {@code item} yet: it came with a new era, in which its revision
     * is lower than the last one known, so that it was probably written before that one. Within an era an item that was
     * held back was written again.
     *
     * @param lastRevision the revision of the last known version or removal of the item; 0 if there is none
     */
    boolean holdsBack(Item item, long lastRevision, long maxAgeMillis) {
        boolean isRestored = isOfOlderEra(lastRevision, item.revision()) && lastRevision > 0;
        boolean isOlder = isRestored && revisionInEra(item.revision()) < revisionInEra(lastRevision);
        boolean wasHeldBack = maxAgeMillisByKey.remove(item.key()) != null;
        if (isOlder || (isRestored && wasHeldBack)) {
            add(item.key(), maxAgeMillis);
            return true;
        }
        return false;
    }

    private static long revisionInEra(long revision) {
        return EraRevision.unpack(revision).revision();
    }

    /** Adds an item that is missing, or the one that is there now. */
    void add(String key, long maxAgeMillis) {
        maxAgeMillisByKey.put(key, maxAgeMillis);
    }

    /** Removes the item because the listener is told of it; returns whether it was held back. */
    boolean remove(String key) {
        return maxAgeMillisByKey.remove(key) != null;
    }

    boolean isEmpty() {
        return maxAgeMillisByKey.isEmpty();
    }

    /** Removes all items and returns their ages by key. */
    Map<String, Long> removeAll() {
        Map<String, Long> removed = new LinkedHashMap<>(maxAgeMillisByKey);
        maxAgeMillisByKey.clear();
        return removed;
    }
}
