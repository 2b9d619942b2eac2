package org.daisyscale.router.internal.serving;

import java.util.List;
import java.util.Optional;
import java.util.function.LongConsumer;
import org.daisyscale.core.platform.CoordinationStore.Change;
import org.daisyscale.core.platform.CoordinationStore.Changes;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.ItemChange;
import org.daisyscale.core.platform.CoordinationStore.Listing;
import org.daisyscale.core.platform.CoordinationStore.WriteResult;
import org.daisyscale.core.platform.EraRevision;
import org.daisyscale.core.platform.WriteOutcome;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.serving.StoreException;

/**
 * The highest era that the store named, which never decreases, and the conversion between the store's revisions and
 * those that contain the era. The first era seen is not a change. Thread-safe.
 */
final class StoreEra {
    private static final long UNKNOWN = -1;

    private long known = UNKNOWN;
    private LongConsumer listener = era -> {};

    /** Sets the receiver of each later change, which is called while no other change can be recorded. */
    synchronized void onChange(LongConsumer newListener) {
        listener = newListener;
    }

    /** Returns the highest era that the store named; 0 before the first response. */
    synchronized long current() {
        return Math.max(0, known);
    }

    /** Records the era of a response; returns false if it is older than the era of a response before. */
    synchronized boolean record(long era) {
        if (known != UNKNOWN && era > known) {
            EventLog.warn(
                    "store-restored",
                    "oldEra=%d newEra=%d: the store was restored from an older copy; leases are lost, and this router"
                                    .formatted(known, era)
                            + " registers again");
            known = era;
            listener.accept(era);
        }
        known = Math.max(known, era);
        return era == known;
    }

    static Item addTo(Item item, long era) {
        return era == 0 ? item : new Item(item.key(), item.value(), packed(era, item.revision()));
    }

    static Listing addTo(Listing listing, long era) {
        if (era == 0) {
            return listing;
        }
        List<Item> items =
                listing.items().stream().map(item -> addTo(item, era)).toList();
        return new Listing(items, packed(era, listing.revision()));
    }

    static Changes addTo(Changes changes, long era) {
        if (era == 0) {
            return changes;
        }
        List<ItemChange> withEra =
                changes.changes().stream().map(change -> addTo(change, era)).toList();
        return new Changes(withEra, packed(era, changes.revision()));
    }

    private static ItemChange addTo(ItemChange change, long era) {
        Optional<Item> item = change.item().map(written -> addTo(written, era));
        return new ItemChange(change.key(), packed(era, change.revision()), item);
    }

    static WriteResult addTo(WriteResult result, long era) {
        boolean hasRevision = result.outcome() == WriteOutcome.ACCEPTED;
        return era == 0 || !hasRevision ? result : new WriteResult(result.outcome(), packed(era, result.revision()));
    }

    /** Returns {@code change} with the expected revision as the store assigned it. */
    static Change removeFrom(Change change) {
        long revision = EraRevision.unpack(change.expectedRevision()).revision();
        return new Change(change.key(), revision, change.value(), change.leaseId());
    }

    private static long packed(long era, long revision) {
        try {
            return new EraRevision(era, revision).packed();
        } catch (IllegalArgumentException e) {
            throw new StoreException(StoreException.Code.UNREADABLE, e.getMessage(), e);
        }
    }
}
