package org.daisyscale.router.internal.following;

import org.daisyscale.core.following.ViewListener;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.serving.EventTime;
import org.daisyscale.router.internal.log.EventLog;

/**
 * Passes the changes of a view on. A failure of the receiver on one item is logged, so that the other items are still
 * followed. As thread-safe as the receiver.
 */
public final class ItemFailureListener implements ViewListener {
    private final ViewListener receiver;

    /** Creates a listener that passes the changes on to {@code receiver}. */
    public ItemFailureListener(ViewListener receiver) {
        this.receiver = receiver;
    }

    @Override
    public boolean ignoresOlderVersions(String key) {
        return receiver.ignoresOlderVersions(key);
    }

    @Override
    public void onWritten(Item item, EventTime writtenAt) {
        contain(item.key(), () -> receiver.onWritten(item, writtenAt));
    }

    @Override
    public void onRemoved(String key) {
        contain(key, () -> receiver.onRemoved(key));
    }

    private static void contain(String key, Runnable change) {
        try {
            change.run();
        } catch (RuntimeException e) {
            EventLog.warn("item-not-taken", "key=" + key, e);
        }
    }

    @Override
    public void onComplete() {
        receiver.onComplete();
    }
}
