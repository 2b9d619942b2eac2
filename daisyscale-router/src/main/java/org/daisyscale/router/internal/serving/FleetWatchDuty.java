package org.daisyscale.router.internal.serving;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.core.platform.CoordinationStore.Changes;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.ItemChange;
import org.daisyscale.router.internal.duty.Backoff;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.serving.StoreException;

/**
 * Watches one prefix of the store and tells its listener of each item. Items that are missing after the store was out
 * of reach are told as removed only after a grace, within which their writers may write them again. One step is for
 * one thread.
 */
final class FleetWatchDuty {
    /** The first and the longest pause after a failed call, in milliseconds. */
    private static final long MIN_PAUSE_MILLIS = 40;

    private static final long MAX_PAUSE_MILLIS = 400;
    /** After a shorter absence no item lapsed by it, in milliseconds: writers are silent for several beats first. */
    private static final long LAPSE_MILLIS = 1_000;
    /** How long a lapsed item may take to be written again after the store's return, in milliseconds; by the pages. */
    private static final long RETURN_MILLIS = 2_000;

    private final CoordinationStore store;
    private final String prefix;
    private final WatchGuard guard;
    private final Listener listener;
    private final long gatherMillis;
    private final Backoff backoff = new Backoff(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS);
    private final Map<String, Item> known = new HashMap<>();
    private final Set<String> missingKeys = new HashSet<>();
    private final StoreContact contact;
    private long revision;
    private long lastChangeRevision;
    private boolean isListed;

    /** Creates the duty; changes that follow one within {@code gatherMillis} come with one call. */
    FleetWatchDuty(CoordinationStore store, String prefix, WatchGuard guard, long gatherMillis, Listener listener) {
        this.store = store;
        this.prefix = prefix;
        this.guard = guard;
        this.gatherMillis = gatherMillis;
        this.listener = listener;
        this.contact = new StoreContact(prefix);
    }

    /** Reads or waits once. */
    void runStep() throws InterruptedException {
        try {
            if (isListed) {
                watch();
            } else {
                CoordinationStore.Listing listing = store.list(prefix);
                contact.answered(revision);
                apply(listing);
            }
            backoff.reset();
            if (isListed) {
                Thread.sleep(gatherMillis);
            }
        } catch (StoreException e) {
            contact.lost(e, revision);
            isListed = false;
            Thread.sleep(backoff.nextMillis());
        }
        removeMissing();
        guard.noteAge();
    }

    private void watch() {
        long startNanos = System.nanoTime();
        Optional<Changes> changes =
                store.watch(prefix, revision, nextWait(), () -> guard.isOverdue(revision, startNanos));
        contact.answered(revision);
        if (changes.isEmpty()) {
            historyLost();
        } else if (changes.get().changes().isEmpty()) {
            heardNothing(changes.get().revision());
        } else {
            apply(changes.get());
        }
    }

    /** A store whose revision rose may have kept a change back, as one whose history is dropped does. */
    private void heardNothing(long storeRevision) {
        isListed = storeRevision <= revision;
        if (isListed) {
            guard.reached(lastChangeRevision);
        }
    }

    private Duration nextWait() {
        return missingKeys.isEmpty() ? guard.nextWait() : Duration.ofMillis(RETURN_MILLIS / 4);
    }

    private void apply(CoordinationStore.Listing listing) {
        Map<String, Item> listed = new HashMap<>();
        listing.items().forEach(item -> listed.put(item.key(), item));
        for (String key : Map.copyOf(known).keySet()) {
            if (!listed.containsKey(key)) {
                lastChangeRevision = Math.max(lastChangeRevision, listing.revision());
                noteMissing(key);
            }
        }
        listed.values().forEach(this::written);
        revision = listing.revision();
        isListed = true;
        guard.reached(lastChangeRevision);
        listener.listed();
    }

    private void historyLost() {
        isListed = false;
        EventLog.info("store-history-lost", "prefix=" + prefix + " revision=" + revision);
    }

    private void apply(Changes changes) {
        for (ItemChange change : changes.changes()) {
            lastChangeRevision = Math.max(lastChangeRevision, change.revision());
            if (change.item().isPresent()) {
                written(change.item().get());
            } else {
                noteMissing(change.key());
            }
        }
        revision = Math.max(revision, changes.revision());
        guard.reached(lastChangeRevision);
    }

    private boolean isWithinGrace() {
        return contact.isJustBack(LAPSE_MILLIS, RETURN_MILLIS);
    }

    private void written(Item item) {
        missingKeys.remove(item.key());
        lastChangeRevision = Math.max(lastChangeRevision, item.revision());
        Item before = known.get(item.key());
        if (before == null || before.revision() < item.revision()) {
            known.put(item.key(), item);
            tellWritten(item);
        }
    }

    /** An item that its listener can't take must not keep the others from being followed. */
    private void tellWritten(Item item) {
        try {
            listener.written(item);
        } catch (RuntimeException e) {
            EventLog.warn("item-not-taken", "key=" + item.key() + " revision=" + item.revision(), e);
        }
    }

    private void noteMissing(String key) {
        if (!known.containsKey(key)) {
            return;
        }
        if (isWithinGrace()) {
            missingKeys.add(key);
        } else {
            removed(key);
        }
    }

    private void removeMissing() {
        if (!contact.isAway() && !isWithinGrace()) {
            Set.copyOf(missingKeys).forEach(this::removed);
        }
    }

    private void removed(String key) {
        missingKeys.remove(key);
        known.remove(key);
        listener.removed(key);
    }

    /** Is told of items, by the thread of the duty. */
    interface Listener {

        /** The item is new or changed. */
        void written(Item item);

        /** The item is gone. */
        void removed(String key);

        /** All items have been told. */
        void listed();
    }
}
