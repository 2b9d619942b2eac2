package org.daisyscale.core.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * The platform's store where routers keep what must last: items by key, changed under conditions, watched by prefix,
 * bound to leases. One revision counter rises with each change.
 *
 * <p>Implementations are safe for use by several threads. Each call blocks until it is answered or its time is over,
 * and throws {@link org.daisyscale.core.error.DaisyscaleException} when the store can't be reached or turns the call
 * away. A write without an answer may take effect later if its conditions still hold.
 */
public interface CoordinationStore {

    /** The item at {@code key}, or empty when there is none. */
    Optional<Item> get(String key);

    /** All items whose keys begin with {@code prefix}, and a revision from which a watch misses nothing. */
    Listing list(String prefix);

    /**
     * The changes under {@code prefix} since {@code afterRevision}, as soon as there is one or when {@code wait} ends.
     *
     * @param isOverdue asked while the call waits; once it holds, the call is given up
     * @return empty when the store no longer has that history or the call was given up: then list again
     */
    Optional<Changes> watch(String prefix, long afterRevision, Duration wait, BooleanSupplier isOverdue);

    /** Writes all of {@code change} or nothing. */
    WriteEnd write(Change change);

    /** A new lease that ends {@code timeToLive} after its last renewal. */
    long grantLease(Duration timeToLive);

    /** Renews the lease from the arrival of the call; false when it has ended. */
    boolean renewLease(long leaseId);

    /** Ends the lease and removes its items. */
    void endLease(long leaseId);

    /**
     * An item. Immutable but for the array, which nobody changes.
     *
     * @param key the key
     * @param value the value
     * @param revision the revision of its last change
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Item(String key, byte[] value, long revision) {}

    /** Items and the store's revision before they were read. Immutable. */
    record Listing(List<Item> items, long revision) {

        public Listing {
            items = List.copyOf(items);
        }
    }

    /** What was written and removed, in order, up to a revision. Immutable. */
    record Changes(List<ItemChange> changes, long revision) {

        public Changes {
            changes = List.copyOf(changes);
        }
    }

    /**
     * One change. Immutable.
     *
     * @param key the key
     * @param revision the revision of the change
     * @param item what was written; empty when the key was removed
     */
    record ItemChange(String key, long revision, Optional<Item> item) {}

    /**
     * A change under a condition. Immutable.
     *
     * @param key the key to write
     * @param expectedRevision the revision that the item must have; 0 for no item
     * @param value the new value
     * @param leaseId the lease to which it is bound; 0 for none
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Change(String key, long expectedRevision, byte[] value, long leaseId) {}

    /**
     * How a write ended. Immutable.
     *
     * @param outcome accepted, refused by its condition, or not known
     * @param revision the new revision when it was accepted; 0 otherwise
     */
    record WriteEnd(WriteOutcome outcome, long revision) {}
}
