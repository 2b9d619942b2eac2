package org.daisyscale.router.serving;

import java.time.Duration;
import java.util.Optional;
import org.daisyscale.core.platform.CoordinationStore.Change;
import org.daisyscale.core.platform.CoordinationStore.Changes;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.Listing;
import org.daisyscale.core.platform.CoordinationStore.WriteResult;

/**
 * How the platform's store is spoken to. Reading an answer that the page of the platform doesn't know throws
 * {@link StoreException}. Implementations are stateless.
 */
public interface StoreDialect {

    /** The call that reads one item. */
    WireCall get(String key);

    /** The item in the answer; empty when there is none. */
    Optional<Item> readItem(WireReply reply);

    /** The call that reads the items behind {@code afterKey}, which may be empty. */
    WireCall list(String prefix, String afterKey);

    /** One page of items. */
    Page readPage(WireReply reply);

    /** The call that waits for changes. */
    WireCall watch(String prefix, long afterRevision, Duration wait);

    /** The changes; empty when the history is no longer there. */
    Optional<Changes> readChanges(WireReply reply);

    /** The call that writes under a condition. */
    WireCall write(Change change);

    /** How the write ended. */
    WriteResult readWriteEnd(WireReply reply);

    /** The call that makes a lease. */
    WireCall grantLease(Duration timeToLive);

    /** The id of the new lease. */
    long readLease(WireReply reply);

    /** The call that renews a lease. */
    WireCall renewLease(long leaseId);

    /** Whether the lease was renewed; false when it has ended. */
    boolean readRenewal(WireReply reply);

    /** The call that ends a lease. */
    WireCall endLease(long leaseId);

    /** One page of a listing, and whether more follow. Immutable. */
    record Page(Listing listing, boolean hasMore) {}
}
