package org.daisyscale.core.following;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.daisyscale.core.platform.CoordinationStore.Changes;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.ItemChange;
import org.daisyscale.core.platform.CoordinationStore.Listing;
import org.daisyscale.core.serving.EventTime;
import org.junit.jupiter.api.Test;

/** Guards against a server that had left and is in use again, because an older read or another view still holds it. */
class ItemsThatAreGoneTest {
    private static final ReadCircumstances CIRCUMSTANCES = new ReadCircumstances(EventTime.UNKNOWN, false);

    private final List<String> calls = new ArrayList<>();
    private final ItemView view = new ItemView("servers/", listener(calls));

    private static ViewListener listener(List<String> calls) {
        return new ViewListener() {
            @Override
            public void onWritten(Item item, EventTime writtenAt) {
                calls.add("written " + item.key() + "@" + item.revision());
            }

            @Override
            public void onRemoved(String key) {
                calls.add("removed " + key);
            }

            @Override
            public void onComplete() {
                // What is complete is of no interest here.
            }
        };
    }

    private static Item item(String key, long revision) {
        return new Item(key, new byte[] {1}, revision);
    }

    private static ItemView viewOf(Listing listing) {
        ItemView view = new ItemView("servers/", listener(new ArrayList<>()));
        view.applyListing(listing, CIRCUMSTANCES);
        return view;
    }

    @Test
    void shouldNotBringBackAnItemByAWatchThatEndsAfterTheViewWasToldFurther() {
        view.applyListing(new Listing(List.of(item("servers/a", 5)), 10), CIRCUMSTANCES);
        ItemView controller = viewOf(new Listing(List.of(item("servers/a", 5)), 30));
        view.applyUpdate(controller.updateFrom(view.version(), true), "r1", EventTime.UNKNOWN);
        view.confirm(30);

        ItemChange written = new ItemChange("servers/x", 12, Optional.of(item("servers/x", 12)));
        view.applyChanges(new Changes(List.of(written), 12), CIRCUMSTANCES);

        assertThat(calls).doesNotContain("written servers/x@12");
        assertThat(view.version()).isEqualTo(controller.version());
    }

    @Test
    void shouldNotBringBackAnItemThatItSawLeaveByAWatchThatEndsLater() {
        view.applyListing(new Listing(List.of(item("servers/a", 5), item("servers/x", 12)), 20), CIRCUMSTANCES);
        ItemView controller = viewOf(new Listing(List.of(item("servers/a", 5)), 30));
        assertThat(view.applyUpdate(controller.updateFrom(view.version(), true), "r1", EventTime.UNKNOWN))
                .isEqualTo(UpdateResult.APPLIED);

        ItemChange written = new ItemChange("servers/x", 22, Optional.of(item("servers/x", 22)));
        view.applyChanges(new Changes(List.of(written), 22), CIRCUMSTANCES);

        assertThat(calls).doesNotContain("written servers/x@22");
    }

    @Test
    void shouldNotBringBackAnItemThatItKnowsToBeGoneByAWholeViewThatStillHoldsIt() {
        view.applyListing(new Listing(List.of(item("servers/a", 5), item("servers/x", 30)), 40), CIRCUMSTANCES);
        ItemView controller = viewOf(new Listing(List.of(item("servers/a", 5), item("servers/x", 30)), 40));
        view.applyListing(new Listing(List.of(item("servers/a", 5)), 50), CIRCUMSTANCES);
        controller.applyListing(
                new Listing(List.of(item("servers/a", 5)), 51),
                new ReadCircumstances(EventTime.UNKNOWN, true)); // x may have lapsed
        calls.clear();

        UpdateResult result = view.applyUpdate(controller.updateFrom(view.version(), true), "r1", EventTime.UNKNOWN);

        assertThat(calls).isEmpty();
        assertThat(result).isEqualTo(UpdateResult.OLDER);
    }

    @Test
    void shouldRemoveALapsedItemAlthoughALateWatchStillHasIt() {
        view.applyListing(new Listing(List.of(item("servers/x", 12)), 15), CIRCUMSTANCES);
        view.applyListing(new Listing(List.of(), 20), new ReadCircumstances(EventTime.UNKNOWN, true));

        ItemChange written = new ItemChange("servers/x", 12, Optional.of(item("servers/x", 12)));
        view.applyChanges(new Changes(List.of(written), 13), CIRCUMSTANCES);
        view.removeLapsed();

        assertThat(calls).containsExactly("written servers/x@12", "removed servers/x");
    }

    @Test
    void shouldTakeAnItemThatWasWrittenAnewAfterItWasGone() {
        view.applyListing(new Listing(List.of(item("servers/x", 30)), 40), CIRCUMSTANCES);
        view.applyListing(new Listing(List.of(), 50), CIRCUMSTANCES);
        ItemView controller = viewOf(new Listing(List.of(item("servers/x", 55)), 60));

        UpdateResult result = view.applyUpdate(controller.updateFrom(view.version(), false), "r1", EventTime.UNKNOWN);

        assertThat(result).isIn(UpdateResult.APPLIED, UpdateResult.DOES_NOT_APPLY);
        assertThat(view.applyUpdate(controller.updateFrom(view.version(), true), "r1", EventTime.UNKNOWN))
                .isIn(UpdateResult.APPLIED, UpdateResult.OLDER);
        assertThat(view.version()).isEqualTo(controller.version());
    }

    @Test
    void shouldApplyAWholeViewOnAnotherViewInEachOrderOfReads() {
        view.applyListing(new Listing(List.of(item("servers/a", 5)), 10), CIRCUMSTANCES);
        ItemView controller = viewOf(new Listing(List.of(item("servers/b", 12)), 30));

        view.applyUpdate(controller.updateFrom(view.version(), true), "r1", EventTime.UNKNOWN);

        assertThat(view.version()).isEqualTo(controller.version());
        assertThat(view.updateFrom(ViewVersion.NONE, true).removedKeys()).isEqualTo(Set.of());
    }
}
