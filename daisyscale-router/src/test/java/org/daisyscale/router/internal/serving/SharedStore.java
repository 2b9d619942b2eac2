package org.daisyscale.router.internal.serving;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.core.platform.EraRevision;
import org.daisyscale.router.serving.StoreException;

/** An in-memory store that several routers read at the same time. Writes are made by the test. Thread-safe. */
final class SharedStore implements CoordinationStore {
    private static final long CHECK_MILLIS = 10;

    private final Map<String, Item> itemByKey = new TreeMap<>();
    private final List<ItemChange> history = new ArrayList<>();
    private final long maxWaitMillis;
    private long era;
    private long revision;
    private boolean isReachable = true;
    private int callCount;

    /** Creates a store that ends each watch after {@code maxWaitMillis} at the latest, as a store may. */
    SharedStore(long maxWaitMillis) {
        this.maxWaitMillis = maxWaitMillis;
    }

    /** Writes {@code key} and returns the revision of the change. */
    synchronized long put(String key, String value) {
        Item item = new Item(key, value.getBytes(StandardCharsets.UTF_8), ++revision);
        itemByKey.put(key, item);
        record(new ItemChange(key, revision, Optional.of(item)));
        return revision;
    }

    synchronized void remove(String key) {
        itemByKey.remove(key);
        record(new ItemChange(key, ++revision, Optional.empty()));
    }

    /** Returns what the store contains now. */
    synchronized Copy copy() {
        return new Copy(List.copyOf(itemByKey.values()), revision);
    }

    /** Begins a new era with the content of {@code copy}. */
    synchronized void restore(Copy copy) {
        era++;
        revision = inEra(copy.revision());
        itemByKey.clear();
        copy.items().forEach(item -> itemByKey.put(item.key(), inEra(item)));
        history.clear();
        notifyAll();
    }

    private Item inEra(Item item) {
        return new Item(item.key(), item.value(), inEra(item.revision()));
    }

    private long inEra(long ofAnyEra) {
        return new EraRevision(era, EraRevision.unpack(ofAnyEra).revision()).packed();
    }

    /** Makes all calls fail, also those that wait, until it is set to true again. */
    synchronized void setReachable(boolean newIsReachable) {
        isReachable = newIsReachable;
        notifyAll();
    }

    /** Returns the number of calls since the last time, refused ones included. */
    synchronized int takeCallCount() {
        int taken = callCount;
        callCount = 0;
        return taken;
    }

    private void record(ItemChange change) {
        history.add(change);
        notifyAll();
    }

    private void startCall() {
        callCount++;
        checkReachable();
    }

    private void checkReachable() {
        if (!isReachable) {
            throw new StoreException(StoreException.Code.UNREACHABLE, "the store is unreachable", null);
        }
    }

    @Override
    public synchronized Optional<Item> get(String key) {
        startCall();
        return Optional.ofNullable(itemByKey.get(key));
    }

    @Override
    public synchronized Listing list(String prefix) {
        startCall();
        List<Item> items = itemByKey.values().stream()
                .filter(item -> item.key().startsWith(prefix))
                .toList();
        return new Listing(items, revision);
    }

    @Override
    public synchronized Optional<Changes> watch(
            String prefix, long afterRevision, Duration wait, BooleanSupplier isOverdue) {
        startCall();
        long endNanos = System.nanoTime() + Math.min(wait.toMillis(), maxWaitMillis) * 1_000_000L;
        if (EraRevision.eraOf(afterRevision) != era) {
            return Optional.empty();
        }
        long eraAtStart = era;
        List<ItemChange> changes = changesAfter(prefix, afterRevision);
        while (changes.isEmpty() && System.nanoTime() - endNanos < 0) {
            checkReachable();
            if (isOverdue.getAsBoolean()) {
                return Optional.empty();
            }
            awaitChange();
            changes = changesAfter(prefix, afterRevision);
        }
        checkReachable();
        return era == eraAtStart ? Optional.of(new Changes(changes, revision)) : Optional.empty();
    }

    private List<ItemChange> changesAfter(String prefix, long afterRevision) {
        return history.stream()
                .filter(change -> change.key().startsWith(prefix) && change.revision() > afterRevision)
                .toList();
    }

    private void awaitChange() {
        try {
            wait(CHECK_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new StoreException(StoreException.Code.UNREACHABLE, "interrupted", e);
        }
    }

    @Override
    public WriteResult write(Change change) {
        throw new UnsupportedOperationException("the test writes");
    }

    @Override
    public long grantLease(Duration timeToLive) {
        throw new UnsupportedOperationException("this store has no leases");
    }

    @Override
    public boolean renewLease(long leaseId) {
        throw new UnsupportedOperationException("this store has no leases");
    }

    @Override
    public void endLease(long leaseId) {
        throw new UnsupportedOperationException("this store has no leases");
    }

    /** The content of the store at one time. Immutable. */
    record Copy(List<Item> items, long revision) {}
}
