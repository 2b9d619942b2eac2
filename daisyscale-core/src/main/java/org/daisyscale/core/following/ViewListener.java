package org.daisyscale.core.following;

import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.serving.EventTime;

/** Receives the changes of a view, on the thread that changes it. */
public interface ViewListener {

    /**
     * Returns whether the listener itself ignores older versions of the item at {@code key}, so that it can be told at
     * once what a restored store has.
     */
    default boolean ignoresOlderVersions(String key) {
        return false;
    }

    /** Handles a new or changed item, which was written at {@code writtenAt}. */
    void onWritten(Item item, EventTime writtenAt);

    /** Handles the removal of the item at {@code key}. */
    void onRemoved(String key);

    /** Called when all changes of a listing, of a watch or of an update have been reported. */
    void onComplete();
}
