package org.daisyscale.core.following;

import org.daisyscale.core.platform.CoordinationStore.Changes;
import org.daisyscale.core.platform.CoordinationStore.Listing;
import org.daisyscale.core.serving.EventTime;

/**
 * What a view of one prefix holds. Implementations never go back: an older listing, watch or update changes nothing.
 * Not thread-safe; confined to one thread.
 */
public interface ViewContents {

    /** Returns the version of the view. */
    ViewVersion version();

    /**
     * Applies a listing of the prefix unless it is older than the view.
     *
     * @param circumstances what is known about the read
     */
    void applyListing(Listing listing, ReadCircumstances circumstances);

    /** Applies what a watch reported after the view's revision; of several versions of an item only the last counts. */
    void applyChanges(Changes changes, ReadCircumstances circumstances);

    /**
     * Applies an update of the controller if it leads to the version that it names; otherwise changes nothing.
     *
     * @param controllerId the router that sent the update
     * @param changedAt when the changes in the update were made
     */
    UpdateResult applyUpdate(ViewUpdate update, String controllerId, EventTime changedAt);

    /** Records that the view lacks nothing up to {@code revision}, as the same items in a further view show. */
    void confirm(long revision);

    /** Returns whether enough is known here to tell other routers. */
    boolean canBeTold();

    /** Returns whether the difference from a view of version {@code held} is known here and small. */
    boolean hasDifferenceFrom(ViewVersion held);

    /** Returns the update that leads from a view of version {@code held} to this one; a whole one if it must be. */
    ViewUpdate updateFrom(ViewVersion held, boolean isWhole);

    /** Removes the items that were missing when the store came back and that nobody has written again. */
    void removeLapsed();

    /** Returns whether items are missing that may be written again. */
    boolean hasLapsed();

    /** Describes what is held, for the log. */
    String describe();
}
