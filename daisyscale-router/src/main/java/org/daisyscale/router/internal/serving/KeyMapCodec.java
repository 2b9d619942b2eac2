package org.daisyscale.router.internal.serving;

import java.util.ArrayList;
import java.util.List;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;
import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.router.internal.json.Json;

/** Encodes and decodes key maps as stored: JSON that contains each owner once. Stateless. */
final class KeyMapCodec {

    private KeyMapCodec() {}

    static byte[] write(KeyMap map) {
        List<Owner> owners = new ArrayList<>();
        List<StoredRange> ranges = map.assignments().stream()
                .map(assignment -> new StoredRange(
                        assignment.firstKey(),
                        assignment.lastKey(),
                        index(owners, assignment.owner()),
                        assignment.fence(),
                        assignment.isSettled(),
                        assignment.predecessors().stream()
                                .map(owner -> index(owners, owner))
                                .toList()))
                .toList();
        return Json.write(new StoredMap(map.service(), map.version(), map.nextFence(), owners, ranges));
    }

    private static int index(List<Owner> owners, Owner owner) {
        if (!owners.contains(owner)) {
            owners.add(owner);
        }
        return owners.indexOf(owner);
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
                        range.predecessors().stream().map(stored.owners()::get).toList()))
                .toList();
        return new KeyMap(stored.service(), stored.version(), 0, stored.nextFence(), assignments);
    }

    /** The stored form of a key map. */
    private record StoredMap(
            String service, long version, long nextFence, List<Owner> owners, List<StoredRange> ranges) {}

    /** The stored form of a range; owners are indexes into the list of the map. */
    private record StoredRange(
            int first, int last, int owner, long fence, boolean isSettled, List<Integer> predecessors) {}
}
