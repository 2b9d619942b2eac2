package org.daisyscale.core.following;

import org.daisyscale.core.platform.CoordinationStore.Item;

/** Receives the changes of a view, on the thread that changes it. */
public interface ViewListener {

    /**
     * Returns whether the listener itself ignores older versions of the item at {@code key}, so that it can be told at
     * once what a restored store has.
     */
    default boolean ignoresOlderVersions(String key) {
        return false;
    }

    /** Handles a new or changed item, which was written {@code maxAgeMillis} ago at most. */
    void onWritten(Item item, long maxAgeMillis);

    /** Handles the removal of the item at {@code key}. */
    void onRemoved(String key);

    /** Called when all changes of a listing, of a watch or of an update have been reported. */
    void onComplete();
}
