package org.daisyscale.core.following;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.daisyscale.core.platform.CoordinationStore.Changes;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.ItemChange;
import org.daisyscale.core.platform.CoordinationStore.Listing;

/** A store that is a list of versions, each with the time of its acceptance. Not thread-safe. */
final class ModelStore {
    private final List<Version> versions = new ArrayList<>();
    /** For each key, whether it was written or removed, by revision. */
    private final Map<String, NavigableMap<Long, Boolean>> writesByKey = new HashMap<>();

    private long revision = 1;
    private long droppedRevision;

    /**
     * A change of an item. Immutable.
     *
     * @param change the change
     * @param millis when it was accepted
     */
    record Version(ItemChange change, long millis) {}

    long revision() {
        return revision;
    }

    Set<String> keys() {
        return writesByKey.keySet();
    }

    /** Writes or removes the item at {@code key}; a removal of what isn't there changes nothing. */
    Optional<Version> change(String key, boolean isWrite, long nowMillis) {
        if (!isWrite && !isHeldAt(key, revision)) {
            return Optional.empty();
        }
        revision++;
        Optional<Item> item = isWrite ? Optional.of(new Item(key, new byte[0], revision)) : Optional.empty();
        Version version = new Version(new ItemChange(key, revision, item), nowMillis);
        versions.add(version);
        writesByKey.computeIfAbsent(key, any -> new TreeMap<>()).put(revision, isWrite);
        return Optional.of(version);
    }

    /** Changes something under another prefix. */
    void changeElsewhere() {
        revision++;
    }

    void dropHistory() {
        droppedRevision = revision;
    }

    /** Returns the revision of the last change of {@code key} up to {@code atRevision}; 0 for none. */
    long lastChange(String key, long atRevision) {
        Map.Entry<Long, Boolean> last =
                writesByKey.getOrDefault(key, new TreeMap<>()).floorEntry(atRevision);
        return last == null ? 0 : last.getKey();
    }

    boolean isHeldAt(String key, long atRevision) {
        Map.Entry<Long, Boolean> last =
                writesByKey.getOrDefault(key, new TreeMap<>()).floorEntry(atRevision);
        return last != null && last.getValue();
    }

    boolean isRemovedAfter(String key, long atRevision) {
        return writesByKey
                .getOrDefault(key, new TreeMap<>())
                .tailMap(atRevision, false)
                .containsValue(false);
    }

    boolean isWritten(String key, long atRevision) {
        return writesByKey.getOrDefault(key, new TreeMap<>()).getOrDefault(atRevision, false);
    }

    /** Returns the items at {@code millis}, and those that were written until {@code endMillis} on a later page. */
    Listing list(long millis, long endMillis) {
        long listedRevision = revisionAt(millis);
        Map<String, Item> items = new HashMap<>();
        for (Version version : versions) {
            boolean isInPage =
                    version.millis() <= endMillis && version.change().key().hashCode() % 2 == 0;
            if (version.change().revision() <= listedRevision || isInPage) {
                version.change()
                        .item()
                        .ifPresentOrElse(
                                item -> items.put(item.key(), item),
                                () -> items.remove(version.change().key()));
            }
        }
        return new Listing(List.copyOf(items.values()), listedRevision);
    }

    private long revisionAt(long millis) {
        long newest = 1;
        for (Version version : versions) {
            if (version.millis() <= millis) {
                newest = version.change().revision();
            }
        }
        boolean isNow = versions.isEmpty()
                || newest == versions.get(versions.size() - 1).change().revision();
        return isNow ? revision : newest;
    }

    /** Returns the changes after {@code afterRevision}; empty if that history was dropped. */
    Optional<Changes> changesAfter(long afterRevision) {
        if (afterRevision < droppedRevision) {
            return Optional.empty();
        }
        List<ItemChange> changes = versions.stream()
                .map(Version::change)
                .filter(change -> change.revision() > afterRevision)
                .toList();
        return Optional.of(new Changes(changes, revision));
    }
}
