package org.daisyscale.router.internal.serving;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.router.serving.StoreException;

/**
 * A store that answers with enqueued results and is unreachable when there is none. Not thread-safe; confined to one
 * thread.
 */
final class ScriptedStore implements CoordinationStore {
    private final Deque<Listing> listings = new ArrayDeque<>();
    private final Deque<Optional<Changes>> watches = new ArrayDeque<>();
    private int callCount;
    private Duration lastWait = Duration.ZERO;

    /** Makes the next unanswered listing return {@code listing}. */
    void enqueueListing(Listing listing) {
        listings.add(listing);
    }

    /** Makes the next unanswered watch return {@code changes}, which is empty when the history is gone. */
    void enqueueWatchResult(Optional<Changes> changes) {
        watches.add(changes);
    }

    /** Returns the number of listings and watches so far. */
    int callCount() {
        return callCount;
    }

    /** Returns how long the last watch was to wait. */
    Duration lastWait() {
        return lastWait;
    }

    private <T> T next(Deque<T> answers) {
        callCount++;
        if (answers.isEmpty()) {
            throw new StoreException(StoreException.Code.UNREACHABLE, "the store is unreachable", null);
        }
        return answers.remove();
    }

    @Override
    public Optional<Item> get(String key) {
        return Optional.empty();
    }

    @Override
    public Listing list(String prefix) {
        return next(listings);
    }

    @Override
    public Optional<Changes> watch(String prefix, long afterRevision, Duration wait, BooleanSupplier isOverdue) {
        lastWait = wait;
        return next(watches);
    }

    @Override
    public WriteResult write(Change change) {
        throw new StoreException(StoreException.Code.UNREACHABLE, "the store is unreachable", null);
    }

    @Override
    public long grantLease(Duration timeToLive) {
        return 1;
    }

    @Override
    public boolean renewLease(long leaseId) {
        return true;
    }

    @Override
    public void endLease(long leaseId) {
        // No item of this store is bound to a lease.
    }
}
