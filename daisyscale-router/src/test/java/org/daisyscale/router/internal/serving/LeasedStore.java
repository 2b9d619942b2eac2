package org.daisyscale.router.internal.serving;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.core.platform.WriteOutcome;
import org.daisyscale.router.serving.StoreException;

/** An in-memory store whose leases end only when they are ended explicitly. Not thread-safe; confined to one thread. */
final class LeasedStore implements CoordinationStore {
    private final Map<String, Item> items = new HashMap<>();
    private final Map<String, Long> leaseByKey = new HashMap<>();
    private final Set<Long> leases = new HashSet<>();
    private Runnable onRenewal = () -> {};
    private long revision;
    private long lastLease;
    private long era;
    private int callCount;
    private boolean isReachable = true;

    /** Makes all writes fail until it is set to true again. */
    void setReachable(boolean newIsReachable) {
        isReachable = newIsReachable;
    }

    /** Makes each renewal run {@code action} first. */
    void onRenewal(Runnable action) {
        onRenewal = action;
    }

    /** Ends all leases and their items, as a restore from an older copy does, and begins {@code newEra}. */
    void loseLeases(long newEra) {
        Set.copyOf(leases).forEach(this::endLease);
        era = newEra;
    }

    @Override
    public long era() {
        return era;
    }

    /** Returns the number of writes and of granted leases. */
    int callCount() {
        return callCount;
    }

    @Override
    public Optional<Item> get(String key) {
        return Optional.ofNullable(items.get(key));
    }

    @Override
    public Listing list(String prefix) {
        return new Listing(List.copyOf(items.values()), revision);
    }

    @Override
    public Optional<Changes> watch(String prefix, long afterRevision, Duration wait, BooleanSupplier isOverdue) {
        return Optional.empty();
    }

    @Override
    public WriteResult write(Change change) {
        callCount++;
        if (!isReachable) {
            throw new StoreException(StoreException.Code.UNREACHABLE, "the store is unreachable", null);
        }
        if (change.leaseId() != 0 && !leases.contains(change.leaseId())) {
            return new WriteResult(WriteOutcome.REFUSED, 0);
        }
        long found = get(change.key()).map(Item::revision).orElse(0L);
        if (found != change.expectedRevision()) {
            return new WriteResult(WriteOutcome.REFUSED, 0);
        }
        items.put(change.key(), new Item(change.key(), change.value(), ++revision));
        leaseByKey.put(change.key(), change.leaseId());
        return new WriteResult(WriteOutcome.ACCEPTED, revision);
    }

    @Override
    public long grantLease(Duration timeToLive) {
        callCount++;
        leases.add(++lastLease);
        return lastLease;
    }

    @Override
    public boolean renewLease(long leaseId) {
        onRenewal.run();
        return leases.contains(leaseId);
    }

    @Override
    public void endLease(long leaseId) {
        leases.remove(leaseId);
        leaseByKey.entrySet().stream()
                .filter(entry -> entry.getValue() == leaseId)
                .forEach(entry -> items.remove(entry.getKey()));
    }
}
