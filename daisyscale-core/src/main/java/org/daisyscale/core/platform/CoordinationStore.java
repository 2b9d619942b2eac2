package org.daisyscale.core.platform;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * The platform's durable key-value store for the routers' shared state. Items are written conditionally, watched by key
 * prefix and may be bound to leases. A single revision counter increases with each change. Revisions contain the era in
 * which the store assigned them, see {@link EraRevision}. A lease ends with the era in which it was granted.
 *
 * <p>Implementations are thread-safe. Each call blocks until it is answered or times out, and throws {@link
 * org.daisyscale.core.error.DaisyscaleException} if the store can't be reached or rejects the call. An unanswered write
 * may take effect later if its condition still holds.
 */
public interface CoordinationStore {

    /**
     * Returns the highest era that a response of the store named: it rises by one each time the store is restored from
     * an older copy. 0 if the store names none.
     */
    default long era() {
        return 0;
    }

    /** Returns the item at {@code key}, or empty if there is none. */
    Optional<Item> get(String key);

    /** Returns all items whose keys start with {@code prefix}, and a revision from which a watch misses no change. */
    Listing list(String prefix);

    /**
     * Waits for changes under {@code prefix} after {@code afterRevision}. Returns as soon as there is one, or after
     * {@code wait}.
     *
     * @param isOverdue polled while the call waits; the call is abandoned once it returns true
     * @return the changes; empty if the store no longer has that history or the call was abandoned, in which case the
     *     caller must list the items again
     */
    Optional<Changes> watch(String prefix, long afterRevision, Duration wait, BooleanSupplier isOverdue);

    /** Writes {@code change} atomically if its condition holds. */
    WriteResult write(Change change);

    /** Creates a lease that expires {@code timeToLive} after its last renewal, and returns its id. */
    long grantLease(Duration timeToLive);

    /** Renews the lease, counted from the arrival of the call at the store; returns false if the lease has expired. */
    boolean renewLease(long leaseId);

    /** Revokes the lease and removes the items bound to it. */
    void endLease(long leaseId);

    /**
     * A stored item. Immutable, provided that nobody modifies the array.
     *
     * @param key the key
     * @param value the value
     * @param revision the revision of the item's last change
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Item(String key, byte[] value, long revision) {

        @Override
        public boolean equals(Object other) {
            return other instanceof Item item
                    && key.equals(item.key)
                    && Arrays.equals(value, item.value)
                    && revision == item.revision;
        }

        @Override
        public int hashCode() {
            return Objects.hash(key, Arrays.hashCode(value), revision);
        }
    }

    /** A list of items, and the store's revision before they were read. Immutable. */
    record Listing(List<Item> items, long revision) {

        public Listing {
            items = List.copyOf(items);
        }
    }

    /** The writes and removals up to a revision, in order. Immutable. */
    record Changes(List<ItemChange> changes, long revision) {

        public Changes {
            changes = List.copyOf(changes);
        }
    }

    /**
     * One write or removal of an item. Immutable.
     *
     * @param key the key
     * @param revision the revision of the change
     * @param item the item written; empty if the key was removed
     */
    record ItemChange(String key, long revision, Optional<Item> item) {}

    /**
     * A conditional write. Immutable.
     *
     * @param key the key to write
     * @param expectedRevision the revision that the item must have; 0 if no item may exist
     * @param value the new value
     * @param leaseId the lease to which the item is bound; 0 for none
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Change(String key, long expectedRevision, byte[] value, long leaseId) {}

    /**
     * The result of a write. Immutable.
     *
     * @param outcome whether the write was accepted, rejected by its condition, or has an unknown outcome
     * @param revision the new revision if the write was accepted; 0 otherwise
     */
    record WriteResult(WriteOutcome outcome, long revision) {}
}
