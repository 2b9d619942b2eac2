package org.daisyscale.router.internal.serving;

import java.util.List;
import org.daisyscale.core.following.ItemView;
import org.daisyscale.core.following.ReadCircumstances;
import org.daisyscale.core.following.Teller;
import org.daisyscale.core.following.ViewContents;
import org.daisyscale.core.following.ViewListener;
import org.daisyscale.core.following.ViewUpdate;
import org.daisyscale.core.following.ViewVersion;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.Listing;
import org.daisyscale.core.serving.EventTime;
import org.daisyscale.router.internal.following.FollowEvent;

/** The view of the controller {@code r7}, and what it sends to other routers. Not thread-safe. */
final class ControllerView {
    private static final String CONTROLLER = "r7";

    private final ViewContents contents;

    private ControllerView(ViewContents contents) {
        this.contents = contents;
    }

    static ControllerView ofServers() {
        return new ControllerView(new ItemView("servers/", new IgnoringListener()));
    }

    static ControllerView ofOperators() {
        return new ControllerView(new OperatorState(new NumberedConfigurations(), event -> {}, new Readiness()));
    }

    /** Lists {@code items} at {@code revision}. */
    ControllerView list(long revision, Item... items) {
        contents.applyListing(new Listing(List.of(items), revision), new ReadCircumstances(EventTime.UNKNOWN, false));
        return this;
    }

    ViewVersion version() {
        return contents.version();
    }

    /** Returns the report that the controller has just read the store. */
    FollowEvent report() {
        return new FollowEvent.Reported(new Teller(CONTROLLER, 1), contents.version(), 0);
    }

    /** Returns the update for a router that holds everything up to {@code revision}. */
    FollowEvent updateFrom(long revision) {
        return updated(contents.updateFrom(new ViewVersion(revision, 0), false));
    }

    /** Returns the answer to a router that holds {@code held}. */
    FollowEvent answer(ViewVersion held, boolean needsWhole) {
        return updated(contents.updateFrom(held, needsWhole));
    }

    /** Returns the update for a router to which no difference applies. */
    FollowEvent wholeUpdate() {
        return updated(contents.updateFrom(ViewVersion.NONE, true));
    }

    static FollowEvent updated(ViewUpdate update) {
        return new FollowEvent.Updated(CONTROLLER, update);
    }

    /** Ignores the items, of which only the versions are needed. */
    static final class IgnoringListener implements ViewListener {

        @Override
        public void onWritten(Item item, EventTime writtenAt) {
            // Only the view is needed.
        }

        @Override
        public void onRemoved(String key) {
            // Only the view is needed.
        }

        @Override
        public void onComplete() {
            // Only the view is needed.
        }
    }
}
