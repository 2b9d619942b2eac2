package org.daisyscale.router.internal.serving;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.daisyscale.core.platform.CoordinationStore;

/** A store that counts the calls that are started, listings and watches by prefix. Thread-safe. */
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
        metrics.storeCall("get");
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
        metrics.storeCall("write");
        return store.write(change);
    }

    @Override
    public long grantLease(Duration timeToLive) {
        metrics.storeCall("lease");
        return store.grantLease(timeToLive);
    }

    @Override
    public boolean renewLease(long leaseId) {
        metrics.storeCall("renewal");
        return store.renewLease(leaseId);
    }

    @Override
    public void endLease(long leaseId) {
        metrics.storeCall("lease");
        store.endLease(leaseId);
    }
}
