package org.daisyscale.core.platform;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What changed under one prefix of the platform's store, as one router read it for the others. Immutable.
 *
 * @param prefix the key prefix
 * @param fromRevision the store's revision of the last change before these
 * @param revision the store's revision of the last of these changes
 * @param written the items written since, each in its newest version
 * @param removedKeys the keys of the items that are gone
 */
public record PrefixChange(
        String prefix,
        long fromRevision,
        long revision,
        List<CoordinationStore.Item> written,
        Set<String> removedKeys) {

    public PrefixChange {
        written = List.copyOf(written);
        removedKeys = Set.copyOf(removedKeys);
    }

    /** Returns whether nothing changed. */
    public boolean isEmpty() {
        return written.isEmpty() && removedKeys.isEmpty();
    }

    /** Returns whether {@code next} starts where this change ends. */
    public boolean isFollowedBy(PrefixChange next) {
        return prefix.equals(next.prefix) && next.fromRevision == revision;
    }

    /** Returns the change that has the effect of this one and then of {@code next}, which must follow this one. */
    public PrefixChange then(PrefixChange next) {
        Set<String> rewritten = new HashSet<>();
        next.written.forEach(item -> rewritten.add(item.key()));
        List<CoordinationStore.Item> items = new ArrayList<>(next.written);
        written.stream()
                .filter(item -> !rewritten.contains(item.key()) && !next.removedKeys.contains(item.key()))
                .forEach(items::add);
        Set<String> removed = new HashSet<>(removedKeys);
        removed.removeAll(rewritten);
        removed.addAll(next.removedKeys);
        return new PrefixChange(prefix, fromRevision, next.revision, items, removed);
    }
}
