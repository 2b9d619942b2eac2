package org.daisyscale.router.internal.serving;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.daisyscale.core.serving.KeyMap;

/** The store of {@link RestoredStoreModel}: one key map, the entry of the controller, and leases. Not thread-safe. */
final class ModelKeyStore {
    private final LongSupplier clockNanos;
    private final Map<Long, Long> expiryByLease = new HashMap<>();
    private long era;
    private long revision = 100;
    private long lastLease;
    private Optional<StoredMap> map = Optional.empty();
    private Optional<StoredController> controller = Optional.empty();

    ModelKeyStore(LongSupplier clockNanos) {
        this.clockNanos = clockNanos;
    }

    long era() {
        return era;
    }

    Optional<StoredMap> map() {
        return map;
    }

    /** Returns the entry of the controller while its lease lasts. */
    Optional<StoredController> controller() {
        expireLeases();
        return controller;
    }

    /** Writes the map if the stored one has {@code expectedRevision}, and returns its revision, or 0 if it has not. */
    long write(KeyMap newer, long expectedRevision) {
        if (map.map(StoredMap::revision).orElse(0L) != expectedRevision) {
            return 0;
        }
        revision++;
        map = Optional.of(new StoredMap(newer, revision));
        return revision;
    }

    /** Writes the entry of a controller under a new lease and returns the lease. */
    long takeControl(String routerId, long timeToLiveNanos) {
        lastLease++;
        revision++;
        expiryByLease.put(lastLease, clockNanos.getAsLong() + timeToLiveNanos);
        controller = Optional.of(new StoredController(routerId, lastLease, era));
        return lastLease;
    }

    boolean renew(long lease, long timeToLiveNanos) {
        expireLeases();
        return expiryByLease.computeIfPresent(lease, (id, expiry) -> clockNanos.getAsLong() + timeToLiveNanos) != null;
    }

    private void expireLeases() {
        expiryByLease.values().removeIf(expiryNanos -> expiryNanos - clockNanos.getAsLong() < 0);
        controller = controller.filter(entry -> expiryByLease.containsKey(entry.lease()));
    }

    Copy copy() {
        expireLeases();
        return new Copy(revision, lastLease, map, controller, Set.copyOf(expiryByLease.keySet()));
    }

    /** Begins a new era with the content of {@code copy}. */
    void restore(Copy copy, boolean keepsLeases) {
        era++;
        revision = copy.revision();
        lastLease = copy.lastLease();
        map = copy.map();
        controller = copy.controller();
        expiryByLease.clear();
        if (keepsLeases) {
            List.copyOf(new HashSet<>(copy.leases()))
                    .forEach(lease -> expiryByLease.put(lease, clockNanos.getAsLong() + 1_500_000_000L));
        }
        expireLeases();
    }

    record StoredMap(KeyMap map, long revision) {}

    record StoredController(String routerId, long lease, long era) {}

    record Copy(
            long revision,
            long lastLease,
            Optional<StoredMap> map,
            Optional<StoredController> controller,
            Set<Long> leases) {}
}
