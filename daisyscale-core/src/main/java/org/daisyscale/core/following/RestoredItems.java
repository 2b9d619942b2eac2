package org.daisyscale.core.following;

import java.util.LinkedHashMap;
import java.util.Map;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.EraRevision;
import org.daisyscale.core.serving.EventTime;

/**
 * The items that a restored store has in another version than before, and of which the listener of a view has not been
 * told, because they may be written again. Not thread-safe; confined to one thread.
 */
final class RestoredItems {
    /** When each item was written. */
    private final Map<String, EventTime> writtenAtByKey = new LinkedHashMap<>();

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
    boolean holdsBack(Item item, long lastRevision, EventTime writtenAt) {
        boolean isRestored = isOfOlderEra(lastRevision, item.revision()) && lastRevision > 0;
        boolean isOlder = isRestored && revisionInEra(item.revision()) < revisionInEra(lastRevision);
        boolean wasHeldBack = writtenAtByKey.remove(item.key()) != null;
        if (isOlder || (isRestored && wasHeldBack)) {
            add(item.key(), writtenAt);
            return true;
        }
        return false;
    }

    private static long revisionInEra(long revision) {
        return EraRevision.unpack(revision).revision();
    }

    /** Adds an item that is missing, or the one that is there now. */
    void add(String key, EventTime writtenAt) {
        writtenAtByKey.put(key, writtenAt);
    }

    /** Removes the item because the listener is told of it; returns whether it was held back. */
    boolean remove(String key) {
        return writtenAtByKey.remove(key) != null;
    }

    boolean isEmpty() {
        return writtenAtByKey.isEmpty();
    }

    /** Removes all items and returns when they were written, by key. */
    Map<String, EventTime> removeAll() {
        Map<String, EventTime> removed = new LinkedHashMap<>(writtenAtByKey);
        writtenAtByKey.clear();
        return removed;
    }
}
