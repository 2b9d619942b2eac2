package org.daisyscale.router.internal.platform;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Caches the newest seen pair of store version and value version of each key, so that a write does not need to read the
 * value first. Thread-safe.
 */
final class VersionCache {
    private final Map<String, Versions> versionsByKey = new ConcurrentHashMap<>();

    /** Caches {@code seen} unless a newer pair is cached. */
    void update(String key, Versions seen) {
        versionsByKey.merge(key, seen, (old, next) -> next.storeVersion() >= old.storeVersion() ? next : old);
    }

    Optional<Versions> get(String key) {
        return Optional.ofNullable(versionsByKey.get(key));
    }

    /** Removes {@code stale} from the cache, unless another pair was cached since. */
    void invalidate(String key, Versions stale) {
        versionsByKey.remove(key, stale);
    }

    /**
     * The versions of the value of one key. Immutable.
     *
     * @param storeVersion the version that the platform's service gave the value; 0 when there is no value
     * @param valueVersion the version or revision in the value itself; 0 when there is no value
     */
    record Versions(long storeVersion, long valueVersion) {}
}
