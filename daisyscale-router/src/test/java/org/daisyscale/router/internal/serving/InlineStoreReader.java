package org.daisyscale.router.internal.serving;

import java.time.Duration;
import org.daisyscale.core.following.ReadRequest;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.router.internal.following.FollowEvent;
import org.daisyscale.router.internal.following.StoreReader;
import org.daisyscale.router.internal.ring.Ring;
import org.daisyscale.router.serving.StoreException;

/** Reads the store at once and adds the end of the read to the ring of events. Not thread-safe. */
record InlineStoreReader(CoordinationStore store, String prefix, Ring<FollowEvent> inbox) implements StoreReader {

    @Override
    public void start(long number, ReadRequest request) {
        if (!inbox.offer(read(number, request))) {
            throw new IllegalStateException("the ring " + inbox.name() + " is full");
        }
    }

    private FollowEvent read(long number, ReadRequest request) {
        try {
            if (request.kind() == ReadRequest.Kind.LIST) {
                return new FollowEvent.Listed(number, store.list(prefix));
            }
            Duration wait = Duration.ofMillis(request.waitMillis());
            return new FollowEvent.Watched(number, store.watch(prefix, request.afterRevision(), wait, () -> false));
        } catch (StoreException e) {
            return new FollowEvent.ReadFailed(number, e);
        }
    }
}
