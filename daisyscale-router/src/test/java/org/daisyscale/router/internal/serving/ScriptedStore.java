package org.daisyscale.router.internal.serving;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.router.serving.StoreException;

/** A store that answers with what was put in, and is out of reach when there is nothing. Used by one thread. */
final class ScriptedStore implements CoordinationStore {
    private final Deque<Listing> listings = new ArrayDeque<>();
    private final Deque<Optional<Changes>> watches = new ArrayDeque<>();
    private int callCount;

    /** The next list is answered by {@code listing}. */
    void willList(Listing listing) {
        listings.add(listing);
    }

    /** The next watch is answered by {@code changes}, or by none when its history is gone. */
    void willHear(Optional<Changes> changes) {
        watches.add(changes);
    }

    /** The lists and watches so far. */
    int callCount() {
        return callCount;
    }

    private <T> T next(Deque<T> answers) {
        callCount++;
        if (answers.isEmpty()) {
            throw new StoreException(StoreException.Code.UNREACHABLE, "out of reach", null);
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
        return next(watches);
    }

    @Override
    public WriteResult write(Change change) {
        throw new StoreException(StoreException.Code.UNREACHABLE, "out of reach", null);
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
        // Nothing is bound to leases here.
    }
}
