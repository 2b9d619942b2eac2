package org.daisyscale.router.internal.serving;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.core.platform.CoordinationStore.Changes;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.ItemChange;
import org.daisyscale.router.internal.duty.Backoff;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.serving.StoreException;

/**
 * Watches the store and tells the listener of its prefix of each item. One watch covers all prefixes; it is short,
 * since a watch whose answer is lost hears nothing and doesn't end. Items that are missing after the store was out of
 * reach are told as removed only after a grace, within which their writers may write them again. One step is for one
 * thread.
 */
final class FleetWatchDuty {
    /** The prefix of all items. */
    private static final String EVERYTHING = "";
    /** The wait of one watch, in milliseconds: with the time for a lost answer, below the 2 s to follow a change. */
    private static final long WAIT_MILLIS = 900;
    /** The first and the longest pause after a failed call, in milliseconds. */
    private static final long MIN_PAUSE_MILLIS = 40;

    private static final long MAX_PAUSE_MILLIS = 400;
    /** After a shorter absence no item lapsed by it, in milliseconds: writers are silent for several beats first. */
    private static final long LAPSE_MILLIS = 1_000;
    /** How long a lapsed item may take to be written again after the store's return, in milliseconds; by the pages. */
    private static final long RETURN_MILLIS = 2_000;

    private final CoordinationStore store;
    private final Map<String, Listener> listenerByPrefix;
    private final long gatherMillis;
    private final Backoff backoff = new Backoff(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS);
    private final Map<String, Item> known = new HashMap<>();
    private final Map<String, Long> missingSinceNanos = new HashMap<>();
    private long revision;
    private boolean isListed;
    private boolean isAway;
    private long awaySinceNanos;
    private boolean wasLongAway;
    private long returnedNanos;

    /** Creates the duty; changes that follow one within {@code gatherMillis} come with one call. */
    FleetWatchDuty(CoordinationStore store, long gatherMillis, Map<String, Listener> listenerByPrefix) {
        this.store = store;
        this.gatherMillis = gatherMillis;
        this.listenerByPrefix = Map.copyOf(listenerByPrefix);
    }

    /** Reads or waits once. */
    void runStep() throws InterruptedException {
        try {
            if (isListed) {
                Optional<Changes> changes = store.watch(EVERYTHING, revision, nextWait());
                noteBack();
                changes.ifPresentOrElse(this::apply, this::historyLost);
            } else {
                list();
            }
            backoff.reset();
            Thread.sleep(gatherMillis);
        } catch (StoreException e) {
            noteAway(e);
            isListed = false;
            Thread.sleep(backoff.nextMillis());
        }
        removeMissing();
    }

    private void list() {
        Map<String, CoordinationStore.Listing> listings = new HashMap<>();
        listenerByPrefix.keySet().forEach(prefix -> listings.put(prefix, store.list(prefix)));
        noteBack();
        listings.forEach(this::apply);
        revision = listings.values().stream()
                .mapToLong(CoordinationStore.Listing::revision)
                .min()
                .orElse(0);
        isListed = true;
    }

    private void noteAway(StoreException failure) {
        if (!isAway) {
            isAway = true;
            awaySinceNanos = System.nanoTime();
            EventLog.warn("store-lost", "revision=" + revision + " reason=" + failure.detail());
        }
    }

    private void noteBack() {
        if (isAway) {
            isAway = false;
            returnedNanos = System.nanoTime();
            wasLongAway = returnedNanos - awaySinceNanos >= LAPSE_MILLIS * 1_000_000L;
            EventLog.info("store-regained", "revision=" + revision);
        }
    }

    private Duration nextWait() {
        return Duration.ofMillis(missingSinceNanos.isEmpty() ? WAIT_MILLIS : RETURN_MILLIS / 4);
    }

    private void apply(String prefix, CoordinationStore.Listing listing) {
        Map<String, Item> listed = new HashMap<>();
        listing.items().forEach(item -> listed.put(item.key(), item));
        for (String key : Map.copyOf(known).keySet()) {
            if (key.startsWith(prefix) && !listed.containsKey(key)) {
                missing(key);
            }
        }
        listed.values().forEach(this::written);
        listenerByPrefix.get(prefix).listed();
    }

    private void historyLost() {
        isListed = false;
        EventLog.info("store-history-lost", "revision=" + revision);
    }

    private void apply(Changes changes) {
        for (ItemChange change : changes.changes()) {
            if (change.item().isPresent()) {
                written(change.item().get());
            } else {
                missing(change.key());
            }
        }
        revision = Math.max(revision, changes.revision());
    }

    private boolean isWithinGrace() {
        return wasLongAway && System.nanoTime() - returnedNanos < RETURN_MILLIS * 1_000_000L;
    }

    private void written(Item item) {
        missingSinceNanos.remove(item.key());
        Item before = known.get(item.key());
        if (before == null || before.revision() < item.revision()) {
            listener(item.key()).ifPresent(listener -> {
                known.put(item.key(), item);
                listener.written(item);
            });
        }
    }

    /** The listener of {@code key}; empty for items that nobody asked for. */
    private Optional<Listener> listener(String key) {
        return listenerByPrefix.entrySet().stream()
                .filter(entry -> key.startsWith(entry.getKey()))
                .map(Map.Entry::getValue)
                .findFirst();
    }

    private void missing(String key) {
        if (!known.containsKey(key)) {
            return;
        }
        if (isWithinGrace()) {
            missingSinceNanos.putIfAbsent(key, System.nanoTime());
        } else {
            removed(key);
        }
    }

    private void removeMissing() {
        long nowNanos = System.nanoTime();
        if (isAway || missingSinceNanos.isEmpty()) {
            return;
        }
        Map.copyOf(missingSinceNanos).forEach((key, since) -> {
            if (nowNanos - Math.max(since, returnedNanos) >= RETURN_MILLIS * 1_000_000L) {
                removed(key);
            }
        });
    }

    private void removed(String key) {
        missingSinceNanos.remove(key);
        known.remove(key);
        listener(key).ifPresent(listener -> listener.removed(key));
    }

    /** Is told of items, by the thread of the duty. */
    interface Listener {

        /** The item is new or changed. */
        void written(Item item);

        /** The item is gone. */
        void removed(String key);

        /** All items of the prefix have been told. */
        void listed();
    }
}
