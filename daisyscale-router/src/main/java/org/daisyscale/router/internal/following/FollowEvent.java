package org.daisyscale.router.internal.following;

import java.util.Optional;
import org.daisyscale.core.following.Teller;
import org.daisyscale.core.following.ViewUpdate;
import org.daisyscale.core.following.ViewVersion;
import org.daisyscale.core.platform.CoordinationStore.Changes;
import org.daisyscale.core.platform.CoordinationStore.Listing;
import org.daisyscale.router.serving.StoreException;

/** What the duty that follows a prefix waits for. Each event is immutable. */
public sealed interface FollowEvent {

    /**
     * The controller has just read the store.
     *
     * @param teller the controller
     * @param version what it holds
     * @param ageMillis the time from when the store proved that until the report was sent, in milliseconds
     */
    record Reported(Teller teller, ViewVersion version, long ageMillis) implements FollowEvent {}

    /**
     * The controller sent an update.
     *
     * @param controllerId the controller
     * @param update the update
     */
    record Updated(String controllerId, ViewUpdate update) implements FollowEvent {}

    /**
     * Another router said what it holds.
     *
     * @param routerId the other router
     * @param version what it holds
     * @param needsWhole whether it needs the whole view
     */
    record Held(String routerId, ViewVersion version, boolean needsWhole) implements FollowEvent {}

    /**
     * The connection to another router was lost.
     *
     * @param routerId the other router
     */
    record FollowerLost(String routerId) implements FollowEvent {}

    /**
     * The store listed the prefix.
     *
     * @param number the number of the read
     * @param listing the listing
     */
    record Listed(long number, Listing listing) implements FollowEvent {}

    /**
     * The store ended a watch.
     *
     * @param number the number of the read
     * @param changes the changes; empty if the store no longer has that history, or if the watch was given up
     */
    record Watched(long number, Optional<Changes> changes) implements FollowEvent {}

    /**
     * A read of the store failed.
     *
     * @param number the number of the read
     * @param failure why
     */
    record ReadFailed(long number, StoreException failure) implements FollowEvent {}
}
