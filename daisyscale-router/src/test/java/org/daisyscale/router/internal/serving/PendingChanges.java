package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/**
 * The changes that some routers do not know yet. Each must be known within the limit, counted from when it was written
 * or from when the router was connected to the controller, whichever is later. Routers may be connected and
 * disconnected by any thread; all else is confined to the thread of the test.
 */
final class PendingChanges {
    private static final long LIMIT_NANOS = FollowingRouters.LIMIT_MILLIS * 1_000_000L;

    private final Map<FollowingRouter, List<Change>> changesByRouter = new HashMap<>();
    private final Map<FollowingRouter, Long> connectedNanosByRouter = new ConcurrentHashMap<>();
    private long maxLateMillis;
    private String latest = "";

    PendingChanges(List<FollowingRouter> routers) {
        routers.forEach(router -> changesByRouter.put(router, new ArrayList<>()));
    }

    void markConnected(FollowingRouter router) {
        connectedNanosByRouter.put(router, System.nanoTime());
    }

    void markDisconnected(FollowingRouter router) {
        connectedNanosByRouter.remove(router);
    }

    /** Adds a change of {@code key}, which replaces an earlier one of it. */
    void add(String key, String description, Predicate<FollowingRouter> isKnown) {
        Change change = new Change(key, description, System.nanoTime(), isKnown);
        changesByRouter.values().forEach(changes -> {
            changes.removeIf(earlier -> earlier.key().equals(key));
            changes.add(change);
        });
    }

    /** Checks that no connected router lacks a change for too long. */
    void check() {
        changesByRouter.forEach((router, changes) -> {
            changes.removeIf(change -> change.isKnown().test(router));
            Long connectedNanos = connectedNanosByRouter.get(router);
            if (connectedNanos != null) {
                changes.forEach(change -> check(router, change, connectedNanos));
            }
        });
    }

    private void check(FollowingRouter router, Change change, long connectedNanos) {
        long sinceNanos = Math.max(change.writtenNanos(), connectedNanos);
        long lateNanos = System.nanoTime() - sinceNanos;
        if (lateNanos / 1_000_000L > maxLateMillis) {
            maxLateMillis = lateNanos / 1_000_000L;
            latest = change.description() + " at " + router.entry().routerId();
        }
        assertThat(lateNanos)
                .as(
                        "%s is not known at %s",
                        change.description(), router.entry().routerId())
                .isLessThan(LIMIT_NANOS);
    }

    /** Returns the longest time that a change was not known at a connected router, in milliseconds. */
    long maxLateMillis() {
        return maxLateMillis;
    }

    /** Returns which change was not known for the longest time, and where. */
    String latest() {
        return latest;
    }

    boolean isEmpty() {
        return changesByRouter.values().stream().allMatch(List::isEmpty);
    }

    /**
     * A change. Immutable.
     *
     * @param key what was changed
     * @param description describes the change
     * @param writtenNanos when it was written, by the monotonic clock
     * @param isKnown whether a router knows it, or something later
     */
    private record Change(String key, String description, long writtenNanos, Predicate<FollowingRouter> isKnown) {}
}
