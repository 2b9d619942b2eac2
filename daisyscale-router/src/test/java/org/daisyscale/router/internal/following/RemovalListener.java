package org.daisyscale.router.internal.following;

import java.util.ArrayList;
import java.util.List;
import org.daisyscale.core.following.ViewListener;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.serving.EventTime;

/** Records the removals of a view. Not thread-safe; confined to one thread. */
final class RemovalListener implements ViewListener {
    private final List<String> removedKeys = new ArrayList<>();

    /** Returns the removed keys, in their order. */
    List<String> removedKeys() {
        return removedKeys;
    }

    @Override
    public void onWritten(Item item, EventTime writtenAt) {
        // Only removals count.
    }

    @Override
    public void onRemoved(String key) {
        removedKeys.add(key);
    }

    @Override
    public void onComplete() {
        // Only removals count.
    }
}
