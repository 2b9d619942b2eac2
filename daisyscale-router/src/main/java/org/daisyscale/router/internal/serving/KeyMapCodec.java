package org.daisyscale.router.internal.serving;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;
import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.router.internal.json.Json;

/** Encodes and decodes key maps as stored: JSON that contains each owner once. Stateless. */
final class KeyMapCodec {

    private KeyMapCodec() {}

    static byte[] write(KeyMap map) {
        Map<Owner, Integer> indexByOwner = new LinkedHashMap<>();
        List<StoredRange> ranges = map.assignments().stream()
                .map(assignment -> new StoredRange(
                        assignment.firstKey(),
                        assignment.lastKey(),
                        index(indexByOwner, assignment.owner()),
                        assignment.fence(),
                        assignment.isSettled(),
                        assignment.predecessors().stream()
                                .map(owner -> index(indexByOwner, owner))
                                .toList(),
                        assignment.lateGrantMillis()))
                .toList();
        return Json.write(new StoredMap(
                map.service(), map.version(), map.nextFence(), List.copyOf(indexByOwner.keySet()), ranges));
    }

    private static int index(Map<Owner, Integer> indexByOwner, Owner owner) {
        return indexByOwner.computeIfAbsent(owner, added -> indexByOwner.size());
    }

    /**
     * Decodes a key map.
     *
     * @throws java.io.UncheckedIOException when the bytes are not a key map
     */
    static KeyMap read(byte[] bytes) {
        StoredMap stored = Json.read(bytes, StoredMap.class);
        List<KeyAssignment> assignments = stored.ranges().stream()
                .map(range -> new KeyAssignment(
                        range.first(),
                        range.last(),
                        stored.owners().get(range.owner()),
                        range.fence(),
                        range.isSettled(),
                        range.predecessors().stream().map(stored.owners()::get).toList(),
                        range.lateGrantMillis() == null ? KeyAssignment.LONGEST_HOLD : range.lateGrantMillis()))
                .toList();
        return new KeyMap(stored.service(), stored.version(), 0, stored.nextFence(), assignments);
    }

    /** The stored form of a key map. */
    private record StoredMap(
            String service, long version, long nextFence, List<Owner> owners, List<StoredRange> ranges) {}

    /**
     * The stored form of a range; owners are indexes into the list of the map. Maps of earlier releases have no
     * {@code lateGrantMillis}.
     */
    private record StoredRange(
            int first,
            int last,
            int owner,
            long fence,
            boolean isSettled,
            List<Integer> predecessors,
            Long lateGrantMillis) {}
}
