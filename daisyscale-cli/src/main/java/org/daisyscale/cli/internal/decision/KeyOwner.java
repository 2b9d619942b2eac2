package org.daisyscale.cli.internal.decision;

import java.util.Optional;
import org.daisyscale.core.ownership.KeyHash;
import org.daisyscale.core.ownership.SliceAssignment;
import org.daisyscale.core.status.RouterStatus;

/**
 * The owner of one key according to a router's ownership map. Immutable.
 *
 * @param service the service
 * @param key the key
 * @param hash the key's hash
 * @param startHash the first hash of the key's slice
 * @param endHash the end of the key's slice, exclusive
 * @param server the backend server that owns the slice; empty if there is none
 * @param epoch the epoch of the assignment
 * @param predecessor the previous owner, as long as it may still hold a grant; otherwise empty
 * @param mapVersion the version of the ownership map
 */
public record KeyOwner(
        String service,
        String key,
        long hash,
        long startHash,
        long endHash,
        String server,
        long epoch,
        String predecessor,
        long mapVersion) {

    /** Returns the owner of {@code key} in {@code service}; empty if no slice of the service contains the key. */
    public static Optional<KeyOwner> find(RouterStatus status, String service, String key) {
        long hash = KeyHash.of(key);
        return status.slices().stream()
                .filter(slice -> slice.service().equals(service) && slice.contains(hash))
                .findFirst()
                .map(slice -> of(slice, key, hash, status.mapVersion()));
    }

    private static KeyOwner of(SliceAssignment slice, String key, long hash, long mapVersion) {
        return new KeyOwner(
                slice.service(),
                key,
                hash,
                slice.startHash(),
                slice.endHash(),
                slice.server(),
                slice.epoch(),
                slice.predecessor(),
                mapVersion);
    }
}
