package org.daisyscale.router.serving;

import java.time.Duration;
import java.util.Optional;
import org.daisyscale.core.platform.CoordinationStore.Change;
import org.daisyscale.core.platform.CoordinationStore.Changes;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.Listing;
import org.daisyscale.core.platform.CoordinationStore.WriteResult;

/**
 * The protocol of the platform's store. The methods that read a response throw {@link StoreException} when the response
 * does not follow the platform's documentation. Implementations are stateless.
 */
public interface StoreDialect {

    /** Returns the era of the store that sent the response; 0 if the response names none. */
    default long era(WireReply reply) {
        return 0;
    }

    /** Returns the call that reads one item. */
    WireCall get(String key);

    /** Returns the item in the response; empty when there is none. */
    Optional<Item> readItem(WireReply reply);

    /** Returns the call that reads the items after {@code afterKey}, which may be empty. */
    WireCall list(String prefix, String afterKey);

    /** Returns one page of items. */
    Page readPage(WireReply reply);

    /** Returns the call that waits for changes. */
    WireCall watch(String prefix, long afterRevision, Duration wait);

    /** Returns the changes; empty when the store no longer has the history. */
    Optional<Changes> readChanges(WireReply reply);

    /** Returns the call that writes an item under a condition. */
    WireCall write(Change change);

    /** Returns the outcome of the write. */
    WriteResult readWriteResult(WireReply reply);

    /** Returns the call that grants a lease. */
    WireCall grantLease(Duration timeToLive);

    /** Returns the id of the new lease. */
    long readLease(WireReply reply);

    /** Returns the call that renews a lease. */
    WireCall renewLease(long leaseId);

    /** Returns whether the lease was renewed; false when it has ended. */
    boolean readRenewal(WireReply reply);

    /** Returns the call that ends a lease. */
    WireCall endLease(long leaseId);

    /** One page of a listing, and whether more pages follow. Immutable. */
    record Page(Listing listing, boolean hasMore) {}
}
