package org.daisyscale.router.internal.serving;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.daisyscale.core.platform.CoordinationStore;

/** A store that counts the listings and watches that are started, by prefix. Thread-safe. */
final class CountedStore implements CoordinationStore {
    private final CoordinationStore store;
    private final ServingMetrics metrics;

    CountedStore(CoordinationStore store, ServingMetrics metrics) {
        this.store = store;
        this.metrics = metrics;
    }

    @Override
    public long era() {
        return store.era();
    }

    @Override
    public Optional<Item> get(String key) {
        return store.get(key);
    }

    @Override
    public Listing list(String prefix) {
        metrics.storeRead(prefix, "list");
        return store.list(prefix);
    }

    @Override
    public Optional<Changes> watch(String prefix, long afterRevision, Duration wait, BooleanSupplier isOverdue) {
        metrics.storeRead(prefix, "watch");
        return store.watch(prefix, afterRevision, wait, isOverdue);
    }

    @Override
    public WriteResult write(Change change) {
        return store.write(change);
    }

    @Override
    public long grantLease(Duration timeToLive) {
        return store.grantLease(timeToLive);
    }

    @Override
    public boolean renewLease(long leaseId) {
        return store.renewLease(leaseId);
    }

    @Override
    public void endLease(long leaseId) {
        store.endLease(leaseId);
    }
}
