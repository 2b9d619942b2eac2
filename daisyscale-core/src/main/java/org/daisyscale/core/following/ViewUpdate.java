package org.daisyscale.core.following;

import java.util.List;
import java.util.Set;
import org.daisyscale.core.platform.CoordinationStore.Item;

/**
 * Leads a follower's view of a prefix to the version of the teller's view. It applies to each view that holds the items
 * of {@code version} once it is applied, which the digest shows. Immutable.
 *
 * @param prefix the key prefix
 * @param version the version that the follower's view has afterwards
 * @param isWhole whether {@code written} holds all items of the teller's view, and all others are gone
 * @param written the items that the follower lacks, each in its newest version; without the value of a configuration
 * @param removedKeys the keys of items that are gone
 * @param tables the change of the routing table if the configuration is among the written items; otherwise empty
 */
public record ViewUpdate(
        String prefix,
        ViewVersion version,
        boolean isWhole,
        List<Item> written,
        Set<String> removedKeys,
        List<TableUpdate> tables) {

    public ViewUpdate {
        written = List.copyOf(written);
        removedKeys = Set.copyOf(removedKeys);
        tables = List.copyOf(tables);
    }
}
