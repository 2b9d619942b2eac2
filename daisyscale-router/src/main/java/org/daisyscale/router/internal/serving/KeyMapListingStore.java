package org.daisyscale.router.internal.serving;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.daisyscale.core.platform.CoordinationStore;

/**
 * A store in which a listing of the routers lists the key maps as well: a router that needs the one without a
 * controller needs the other, and each call costs. Thread-safe if the receiver of the key maps is.
 */
final class KeyMapListingStore implements CoordinationStore {
    private final CoordinationStore store;
    private final Consumer<List<Item>> keyMaps;

    /** Creates a store that passes the key maps of each listing of the routers to {@code keyMaps}. */
    KeyMapListingStore(CoordinationStore store, Consumer<List<Item>> keyMaps) {
        this.store = store;
        this.keyMaps = keyMaps;
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
        if (!prefix.equals(StoreKeys.PREFIX)) {
            return store.list(prefix);
        }
        Listing all = store.list(StoreKeys.ROOT);
        keyMaps.accept(below(StoreKeys.KEY_MAPS, all));
        return new Listing(below(prefix, all), all.revision());
    }

    private static List<Item> below(String prefix, Listing listing) {
        return listing.items().stream()
                .filter(item -> item.key().startsWith(prefix))
                .toList();
    }

    @Override
    public Optional<Changes> watch(String prefix, long afterRevision, Duration wait, BooleanSupplier isOverdue) {
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
