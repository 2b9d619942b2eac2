package org.daisyscale.core.following;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.daisyscale.core.platform.CoordinationStore.Changes;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.ItemChange;
import org.daisyscale.core.platform.CoordinationStore.Listing;
import org.daisyscale.core.platform.EraRevision;
import org.daisyscale.core.serving.EventTime;

/**
 * A view of the items under one prefix. An item is only ever replaced by a newer version of it, and is removed only by
 * what was read or told later than the item was written. Every change, also the removal of an item that lapsed, changes
 * the digest.
 *
 * <p>When the store was restored from an older copy, items may be missing, back or back to an older value although
 * nobody changed them. The view holds what the store has, but its listener is told only with {@link #removeLapsed},
 * unless the item is written again before.
 *
 * <p>Not thread-safe; confined to one thread.
 */
public final class ItemView implements ViewContents {
    /** Removals that are remembered for followers; one that is further behind gets everything. */
    private static final int MAX_REMOVALS = 1_024;

    private final String prefix;
    private final ViewListener listener;
    private final Map<String, Item> itemByKey = new HashMap<>();
    private final Set<String> lapsedKeys = new LinkedHashSet<>();
    private final RestoredItems restored = new RestoredItems();
    private final Deque<Removal> removals = new ArrayDeque<>();
    /** The revision of the last removal of each key in {@link #removals}. */
    private final Map<String, Long> removedRevisionByKey = new HashMap<>();
    /** The revision from which on no removal is missing in {@link #removals}. */
    private long removalsSinceRevision;

    private long revision;
    private long digest;

    /** Creates an empty view of {@code prefix} that reports its changes to {@code listener}. */
    public ItemView(String prefix, ViewListener listener) {
        this.prefix = prefix;
        this.listener = listener;
    }

    @Override
    public ViewVersion version() {
        return new ViewVersion(revision, digest);
    }

    @Override
    public void applyListing(Listing listing, ReadCircumstances circumstances) {
        if (listing.revision() < revision) {
            return;
        }
        boolean isFirst = revision == 0;
        Set<String> listedKeys = new HashSet<>();
        listing.items().forEach(item -> listedKeys.add(item.key()));
        for (Item known : List.copyOf(itemByKey.values())) {
            if (!listedKeys.contains(known.key()) && known.revision() <= listing.revision()) {
                boolean isRestored = RestoredItems.isOfOlderEra(known.revision(), listing.revision());
                recordMissing(known.key(), listing.revision(), isRestored || circumstances.mayHaveLapsed());
            }
        }
        listing.items().stream()
                .filter(item -> itemByKey.containsKey(item.key()) || !isRemovedAt(item.key(), listing.revision()))
                .forEach(item -> write(item, circumstances.changedAt()));
        revision = listing.revision();
        if (isFirst) {
            removalsSinceRevision = revision;
        }
        listener.onComplete();
    }

    @Override
    public void applyChanges(Changes changes, ReadCircumstances circumstances) {
        Map<String, ItemChange> lastByKey = new LinkedHashMap<>();
        changes.changes().forEach(change -> lastByKey.put(change.key(), change));
        long newest = changes.revision();
        for (ItemChange change : lastByKey.values()) {
            newest = Math.max(newest, change.revision());
            apply(change, circumstances);
        }
        revision = Math.max(revision, newest);
        listener.onComplete();
    }

    /** Returns whether the item is known to be gone at {@code atRevision}, as a later page of another listing shows. */
    private boolean isRemovedAt(String key, long atRevision) {
        return removedRevisionByKey.getOrDefault(key, 0L) >= atRevision;
    }

    private void apply(ItemChange change, ReadCircumstances circumstances) {
        Item known = itemByKey.get(change.key());
        if (change.item().isPresent()) {
            // The view may have been told meanwhile that an item of a late response is gone, or may lapse.
            boolean isNewer = known == null ? change.revision() > revision : change.revision() > known.revision();
            if (isNewer) {
                write(change.item().get(), circumstances.changedAt());
            }
        } else if (known == null) {
            recordRemoval(change.key(), change.revision());
            if (restored.remove(change.key())) {
                listener.onRemoved(change.key());
            }
        } else if (known.revision() <= change.revision()) {
            recordMissing(change.key(), change.revision(), circumstances.mayHaveLapsed());
        }
    }

    @Override
    public UpdateResult applyUpdate(ViewUpdate update, String controllerId, EventTime changedAt) {
        UpdateResult result = check(update);
        if (result == UpdateResult.APPLIED) {
            update.removedKeys().stream()
                    .filter(key -> !itemByKey.containsKey(key))
                    .forEach(key -> recordRemoval(key, update.version().revision()));
            keysRemovedBy(update)
                    .forEach(key -> removeTold(key, update.version().revision()));
            update.written().forEach(item -> write(item, changedAt));
            if (revision == 0) {
                removalsSinceRevision = update.version().revision();
            }
            revision = update.version().revision();
            listener.onComplete();
        }
        return result;
    }

    /** Returns what would become of {@code update}, and changes nothing. */
    public UpdateResult check(ViewUpdate update) {
        if (!update.prefix().equals(prefix) || hasItemTwice(update)) {
            return UpdateResult.DOES_NOT_APPLY;
        }
        boolean isHeld = revision > 0 && update.version().hasSameItems(version());
        if (update.version().revision() < revision || isHeld || wouldTakeBack(update)) {
            return UpdateResult.OLDER;
        }
        if (revision == 0 && !update.isWhole()) {
            return UpdateResult.NOT_LISTED;
        }
        return digestAfter(update) == update.version().digest() ? UpdateResult.APPLIED : UpdateResult.DOES_NOT_APPLY;
    }

    private static boolean hasItemTwice(ViewUpdate update) {
        return update.written().stream().map(Item::key).distinct().count()
                != update.written().size();
    }

    /** Returns whether the update lacks a change that this router read, which may be further than its revision. */
    private boolean wouldTakeBack(ViewUpdate update) {
        return update.written().stream().anyMatch(this::isOlder)
                || keysRemovedBy(update).stream()
                        .anyMatch(key ->
                                itemByKey.get(key).revision() > update.version().revision());
    }

    /** Returns whether the item is known to have been written again or removed after {@code item} was written. */
    private boolean isOlder(Item item) {
        Item known = itemByKey.get(item.key());
        return known == null
                ? removedRevisionByKey.getOrDefault(item.key(), 0L) >= item.revision()
                : known.revision() > item.revision();
    }

    private Set<String> keysRemovedBy(ViewUpdate update) {
        Set<String> keys = new HashSet<>(update.isWhole() ? itemByKey.keySet() : update.removedKeys());
        keys.retainAll(itemByKey.keySet());
        update.written().forEach(item -> keys.remove(item.key()));
        return keys;
    }

    private long digestAfter(ViewUpdate update) {
        long after = digest;
        for (String key : keysRemovedBy(update)) {
            after -= ItemDigest.of(key, itemByKey.get(key).revision());
        }
        for (Item item : update.written()) {
            Item known = itemByKey.get(item.key());
            after -= known == null ? 0 : ItemDigest.of(item.key(), known.revision());
            after += ItemDigest.of(item.key(), item.revision());
        }
        return after;
    }

    @Override
    public void confirm(long confirmedRevision) {
        if (revision == 0) {
            removalsSinceRevision = confirmedRevision;
        }
        revision = Math.max(revision, confirmedRevision);
    }

    @Override
    public boolean hasDifferenceFrom(ViewVersion held) {
        return held.revision() >= removalsSinceRevision && held.revision() > 0;
    }

    @Override
    public ViewUpdate updateFrom(ViewVersion held, boolean isWhole) {
        if (isWhole || !hasDifferenceFrom(held)) {
            return new ViewUpdate(prefix, version(), true, List.copyOf(itemByKey.values()), Set.of(), List.of());
        }
        List<Item> written = itemByKey.values().stream()
                .filter(item -> item.revision() >= held.revision())
                .toList();
        Set<String> removedKeys = new HashSet<>();
        removals.stream()
                .filter(removal -> removal.revision() >= held.revision() && !itemByKey.containsKey(removal.key()))
                .forEach(removal -> removedKeys.add(removal.key()));
        return new ViewUpdate(prefix, version(), false, written, removedKeys, List.of());
    }

    @Override
    public boolean canBeTold() {
        return true;
    }

    @Override
    public void removeLapsed() {
        if (hasLapsed()) {
            Set.copyOf(lapsedKeys).forEach(key -> remove(key, revision));
            restored.removeAll().forEach(this::publish);
            listener.onComplete();
        }
    }

    private void publish(String key, EventTime changedAt) {
        Item item = itemByKey.get(key);
        if (item == null) {
            listener.onRemoved(key);
        } else {
            listener.onWritten(item, changedAt);
        }
    }

    @Override
    public boolean hasLapsed() {
        return !lapsedKeys.isEmpty() || !restored.isEmpty();
    }

    @Override
    public String describe() {
        return "revision=%s items=%d".formatted(EraRevision.unpack(revision), itemByKey.size());
    }

    private void recordMissing(String key, long removedRevision, boolean mayHaveLapsed) {
        if (mayHaveLapsed) {
            lapsedKeys.add(key);
        } else {
            remove(key, removedRevision);
        }
    }

    private void write(Item item, EventTime changedAt) {
        Item known = itemByKey.get(item.key());
        lapsedKeys.remove(item.key());
        if (known != null && known.revision() >= item.revision()) {
            return;
        }
        if (known != null) {
            digest -= ItemDigest.of(item.key(), known.revision());
        }
        digest += ItemDigest.of(item.key(), item.revision());
        itemByKey.put(item.key(), item);
        Long removedRevision = removedRevisionByKey.remove(item.key());
        long lastRevision = known != null ? known.revision() : removedRevision != null ? removedRevision : 0;
        boolean isHeldBack =
                !listener.ignoresOlderVersions(item.key()) && restored.holdsBack(item, lastRevision, changedAt);
        if (!isHeldBack && !isRestoredUnchanged(known, item)) {
            listener.onWritten(item, changedAt);
        }
    }

    /** Returns whether only the revision of the item changed, by the era of the restored store. */
    private static boolean isRestoredUnchanged(Item known, Item item) {
        return known != null
                && RestoredItems.isOfOlderEra(known.revision(), item.revision())
                && Arrays.equals(known.value(), item.value());
    }

    /** Removes an item that the controller's view lacks; the controller may never have had what a restore lost. */
    private void removeTold(String key, long removedRevision) {
        Item known = itemByKey.get(key);
        if (known != null && RestoredItems.isOfOlderEra(known.revision(), removedRevision)) {
            forget(known, removedRevision);
            restored.add(key, EventTime.UNKNOWN);
        } else {
            remove(key, removedRevision);
        }
    }

    private void forget(Item known, long removedRevision) {
        lapsedKeys.remove(known.key());
        itemByKey.remove(known.key());
        digest -= ItemDigest.of(known.key(), known.revision());
        recordRemoval(known.key(), removedRevision);
    }

    private void remove(String key, long removedRevision) {
        lapsedKeys.remove(key);
        Item known = itemByKey.get(key);
        if (known == null) {
            return;
        }
        forget(known, removedRevision);
        restored.remove(key);
        listener.onRemoved(key);
    }

    private void recordRemoval(String key, long removedRevision) {
        removals.addLast(new Removal(key, removedRevision));
        removedRevisionByKey.merge(key, removedRevision, Math::max);
        if (removals.size() > MAX_REMOVALS) {
            Removal forgotten = removals.removeFirst();
            removedRevisionByKey.remove(forgotten.key(), forgotten.revision());
            removalsSinceRevision = Math.max(removalsSinceRevision, forgotten.revision() + 1);
        }
    }

    /**
     * A removal of an item. Immutable.
     *
     * @param key the item's key
     * @param revision the store's revision at which it was known to be gone
     */
    private record Removal(String key, long revision) {}
}
