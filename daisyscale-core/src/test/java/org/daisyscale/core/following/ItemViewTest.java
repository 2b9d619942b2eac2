package org.daisyscale.core.following;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.daisyscale.core.platform.CoordinationStore.Changes;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.ItemChange;
import org.daisyscale.core.platform.CoordinationStore.Listing;
import org.daisyscale.core.serving.EventTime;
import org.junit.jupiter.api.Test;

class ItemViewTest {
    private static final String PREFIX = "p/";
    private static final ReadCircumstances USUAL = new ReadCircumstances(EventTime.UNKNOWN, false);
    private static final ReadCircumstances IN_GRACE = new ReadCircumstances(EventTime.UNKNOWN, true);

    private final Held held = new Held();
    private final ItemView view = new ItemView(PREFIX, held);
    private final ItemView tellerView = new ItemView(PREFIX, new Held());

    /** What a listener of the view knows. */
    private static final class Held implements ViewListener {
        private final Map<String, Long> revisionByKey = new TreeMap<>();
        private int completeCount;

        @Override
        public void onWritten(Item item, EventTime writtenAt) {
            revisionByKey.put(item.key(), item.revision());
        }

        @Override
        public void onRemoved(String key) {
            revisionByKey.remove(key);
        }

        @Override
        public void onComplete() {
            completeCount++;
        }
    }

    private static Item item(String key, long revision) {
        return new Item(key, new byte[] {1}, revision);
    }

    private static Listing listing(long revision, Item... items) {
        return new Listing(List.of(items), revision);
    }

    private static ItemChange written(String key, long revision) {
        return new ItemChange(key, revision, Optional.of(item(key, revision)));
    }

    private static ItemChange removed(String key, long revision) {
        return new ItemChange(key, revision, Optional.empty());
    }

    private static Changes changes(long revision, ItemChange... changes) {
        return new Changes(List.of(changes), revision);
    }

    private static ViewUpdate update(
            long revision, long digest, boolean isWhole, List<Item> written, Set<String> removedKeys) {
        return new ViewUpdate(PREFIX, new ViewVersion(revision, digest), isWhole, written, removedKeys, List.of());
    }

    private static long digest(Item... items) {
        long digest = 0;
        for (Item item : items) {
            digest += ItemDigest.of(item.key(), item.revision());
        }
        return digest;
    }

    private UpdateResult tell(boolean isWhole) {
        return apply(tellerView.updateFrom(view.version(), isWhole));
    }

    private UpdateResult apply(ViewUpdate update) {
        return view.applyUpdate(update, "r1", EventTime.UNKNOWN);
    }

    private void listBoth(Listing listing) {
        view.applyListing(listing, USUAL);
        tellerView.applyListing(listing, USUAL);
    }

    @Test
    void shouldHaveTheDigestOfItsItemsAndNothingElse() {
        view.applyListing(listing(5, item("a", 3), item("b", 4)), USUAL);
        tellerView.applyListing(listing(4, item("a", 1), item("b", 4), item("c", 2)), USUAL);
        tellerView.applyChanges(changes(9, removed("c", 8), written("a", 3)), USUAL);

        assertThat(view.version()).isEqualTo(new ViewVersion(5, digest(item("a", 3), item("b", 4))));
        assertThat(tellerView.version().hasSameItems(view.version())).isTrue();
    }

    @Test
    void shouldHaveAnotherDigestForAnotherRevisionOfAnItem() {
        view.applyListing(listing(5, item("a", 3)), USUAL);
        tellerView.applyListing(listing(5, item("a", 4)), USUAL);

        assertThat(tellerView.version().hasSameItems(view.version())).isFalse();
    }

    @Test
    void shouldReportEachChangeOnce() {
        view.applyListing(listing(5, item("a", 3), item("b", 4)), USUAL);
        view.applyListing(listing(6, item("a", 3)), USUAL);

        assertThat(held.revisionByKey).containsExactlyEntriesOf(Map.of("a", 3L));
        assertThat(held.completeCount).isEqualTo(2);
    }

    @Test
    void shouldIgnoreAnOlderListing() {
        view.applyListing(listing(5, item("a", 5)), USUAL);

        view.applyListing(listing(4, item("a", 3), item("b", 4)), USUAL);

        assertThat(held.revisionByKey).containsExactlyEntriesOf(Map.of("a", 5L));
        assertThat(view.version().revision()).isEqualTo(5);
    }

    @Test
    void shouldKeepAnItemThatIsNewerThanTheListingItCameWithOrThatLacksIt() {
        view.applyListing(listing(5, item("a", 8)), USUAL);

        view.applyListing(listing(6), USUAL);

        assertThat(held.revisionByKey).containsExactlyEntriesOf(Map.of("a", 8L));
        assertThat(view.version().revision()).isEqualTo(6);
    }

    /** The first listing came in pages, and the item was removed before its page. */
    @Test
    void shouldNotBringBackARemovedItemByAListingOfTheSameRevision() {
        view.applyListing(listing(5, item("a", 3)), USUAL);
        view.applyListing(listing(6), USUAL);

        view.applyListing(listing(6, item("a", 3)), USUAL);

        assertThat(held.revisionByKey).isEmpty();
    }

    @Test
    void shouldCountOnlyTheLastOfSeveralChangesOfAnItem() {
        view.applyListing(listing(5, item("a", 3)), USUAL);

        view.applyChanges(changes(9, removed("a", 6), written("b", 6), written("a", 7), removed("b", 8)), USUAL);

        assertThat(held.revisionByKey).containsExactlyEntriesOf(Map.of("a", 7L));
        assertThat(view.version()).isEqualTo(new ViewVersion(9, digest(item("a", 7))));
    }

    @Test
    void shouldIgnoreChangesOlderThanAnItem() {
        view.applyListing(listing(5, item("a", 8)), USUAL);

        view.applyChanges(changes(7, written("a", 6), removed("a", 7)), USUAL);

        assertThat(held.revisionByKey).containsExactlyEntriesOf(Map.of("a", 8L));
    }

    /** A watch that began before the controller was heard may end after its updates. */
    @Test
    void shouldNotBringBackARemovedItemByALateResponse() {
        listBoth(listing(5));
        tellerView.applyChanges(changes(8, written("a", 6), removed("a", 8)), USUAL);
        view.confirm(8);

        view.applyChanges(changes(7, written("a", 6)), USUAL);

        assertThat(held.revisionByKey).isEmpty();
        assertThat(view.version()).isEqualTo(tellerView.version());
    }

    @Test
    void shouldApplyTheDifferenceFromWhatItHolds() {
        listBoth(listing(5, item("a", 3), item("b", 4)));
        tellerView.applyChanges(changes(8, written("a", 6), removed("b", 7), written("c", 8)), USUAL);

        assertThat(tell(false)).isEqualTo(UpdateResult.APPLIED);

        assertThat(held.revisionByKey).containsExactlyInAnyOrderEntriesOf(Map.of("a", 6L, "c", 8L));
        assertThat(view.version()).isEqualTo(tellerView.version());
    }

    @Test
    void shouldGetOnlyWhatChangedSinceItsRevision() {
        listBoth(listing(5, item("a", 3), item("b", 4)));
        tellerView.applyChanges(changes(8, written("c", 8)), USUAL);

        ViewUpdate update = tellerView.updateFrom(view.version(), false);

        assertThat(update.isWhole()).isFalse();
        assertThat(update.written()).containsExactly(item("c", 8));
        assertThat(update.removedKeys()).isEmpty();
    }

    @Test
    void shouldBeToldOfTheEndOfTheGracePeriodAtTheSameRevision() {
        listBoth(listing(5, item("a", 3), item("b", 4)));
        tellerView.applyListing(listing(7), IN_GRACE);
        assertThat(tell(false)).isEqualTo(UpdateResult.OLDER);
        view.confirm(7);

        tellerView.removeLapsed();

        assertThat(tellerView.version()).isEqualTo(new ViewVersion(7, 0));
        assertThat(tellerView.updateFrom(view.version(), false).removedKeys()).containsExactlyInAnyOrder("a", "b");
        assertThat(tell(false)).isEqualTo(UpdateResult.APPLIED);
        assertThat(held.revisionByKey).isEmpty();
    }

    @Test
    void shouldKeepALapsedItemUntilItIsWrittenOrTheGracePeriodEnds() {
        view.applyListing(listing(5, item("a", 3), item("b", 4)), USUAL);
        view.applyListing(listing(7), IN_GRACE);
        assertThat(held.revisionByKey).hasSize(2);

        view.applyChanges(changes(8, written("a", 8)), IN_GRACE);
        view.removeLapsed();

        assertThat(held.revisionByKey).containsExactlyEntriesOf(Map.of("a", 8L));
        assertThat(view.hasLapsed()).isFalse();
    }

    @Test
    void shouldRefuseADifferenceFromOtherItemsAndApplyTheWhole() {
        view.applyListing(listing(5, item("a", 3)), USUAL);
        tellerView.applyListing(listing(5, item("a", 3), item("b", 4)), USUAL);
        tellerView.applyChanges(changes(8, written("c", 8)), USUAL);

        assertThat(tell(false)).isEqualTo(UpdateResult.DOES_NOT_APPLY);
        assertThat(held.revisionByKey).containsExactlyEntriesOf(Map.of("a", 3L));

        assertThat(tell(true)).isEqualTo(UpdateResult.APPLIED);
        assertThat(view.version()).isEqualTo(tellerView.version());
    }

    @Test
    void shouldRefuseADifferenceBeforeAnythingWasReadAndApplyTheWhole() {
        tellerView.applyListing(listing(5, item("a", 3)), USUAL);
        ViewUpdate difference = tellerView.updateFrom(new ViewVersion(5, 0), false);

        assertThat(apply(difference)).isEqualTo(UpdateResult.NOT_LISTED);
        assertThat(tell(false)).isEqualTo(UpdateResult.APPLIED);
        assertThat(view.version()).isEqualTo(tellerView.version());
    }

    @Test
    void shouldApplyTheWholeOfAnEmptyPrefix() {
        tellerView.applyListing(listing(5), USUAL);

        assertThat(tell(false)).isEqualTo(UpdateResult.APPLIED);
        assertThat(view.version()).isEqualTo(new ViewVersion(5, 0));
        assertThat(held.completeCount).isEqualTo(1);
    }

    @Test
    void shouldRefuseAnUpdateOfAnotherPrefix() {
        ViewUpdate other = new ViewUpdate(
                "q/", new ViewVersion(9, digest(item("a", 3))), true, List.of(item("a", 3)), Set.of(), List.of());

        assertThat(apply(other)).isEqualTo(UpdateResult.DOES_NOT_APPLY);
        assertThat(held.revisionByKey).isEmpty();
    }

    @Test
    void shouldRefuseAnUpdateWithAnItemTwice() {
        view.applyListing(listing(5, item("a", 3)), USUAL);
        List<Item> twice = List.of(item("b", 7), item("b", 6));

        UpdateResult result = apply(update(8, digest(item("a", 3), item("b", 6)), false, twice, Set.of()));

        assertThat(result).isEqualTo(UpdateResult.DOES_NOT_APPLY);
        assertThat(held.revisionByKey).containsExactlyEntriesOf(Map.of("a", 3L));
    }

    @Test
    void shouldNotGoBackByAnOlderUpdate() {
        view.applyListing(listing(5, item("a", 5)), USUAL);

        assertThat(apply(update(4, 0, true, List.of(), Set.of()))).isEqualTo(UpdateResult.OLDER);
        assertThat(apply(update(5, digest(item("a", 4)), true, List.of(item("a", 4)), Set.of())))
                .isEqualTo(UpdateResult.OLDER);
        assertThat(held.revisionByKey).containsExactlyEntriesOf(Map.of("a", 5L));
    }

    @Test
    void shouldNotRemoveAnItemThatWasWrittenAfterTheUpdate() {
        view.applyListing(listing(5, item("a", 8)), USUAL);

        assertThat(apply(update(6, 0, true, List.of(), Set.of()))).isEqualTo(UpdateResult.OLDER);
        assertThat(apply(update(6, 0, false, List.of(), Set.of("a")))).isEqualTo(UpdateResult.OLDER);
    }

    /** The controller's grace period may end later than the one of this router, which read the store itself. */
    @Test
    void shouldNotTakeBackTheRemovalOfALapsedItem() {
        listBoth(listing(5, item("a", 3)));
        view.applyListing(listing(7), IN_GRACE);
        tellerView.applyListing(listing(7), IN_GRACE);
        view.removeLapsed();

        assertThat(tell(true)).isEqualTo(UpdateResult.OLDER);
        assertThat(held.revisionByKey).isEmpty();
    }

    @Test
    void shouldNotTakeBackARemovalThatAListingShowed() {
        listBoth(listing(5, item("a", 3)));
        view.applyListing(listing(7), USUAL);
        tellerView.confirm(7);

        assertThat(tell(true)).isEqualTo(UpdateResult.OLDER);
        assertThat(held.revisionByKey).isEmpty();
    }

    @Test
    void shouldApplyAnUpdateThatWritesARemovedItemAgain() {
        listBoth(listing(5, item("a", 3)));
        view.applyListing(listing(7), USUAL);
        tellerView.applyListing(listing(8, item("a", 8)), USUAL);

        assertThat(tell(false)).isEqualTo(UpdateResult.APPLIED);
        assertThat(held.revisionByKey).containsExactlyEntriesOf(Map.of("a", 8L));
    }

    @Test
    void shouldTellOfTheRemovalOfAnItemThatItNeverHeld() {
        listBoth(listing(5, item("a", 3)));
        view.applyChanges(changes(6, written("b", 6)), USUAL);
        tellerView.applyChanges(changes(8, written("b", 6), removed("b", 7)), USUAL);

        assertThat(tell(false)).isEqualTo(UpdateResult.APPLIED);
        assertThat(held.revisionByKey).containsExactlyEntriesOf(Map.of("a", 3L));
    }

    @Test
    void shouldTellTheWholeToAFollowerFromBeforeTheRemovalsThatItRemembers() {
        List<Item> items = new ArrayList<>();
        List<ItemChange> removals = new ArrayList<>();
        for (int index = 0; index < 1_100; index++) {
            items.add(item("k" + index, 3));
            removals.add(removed("k" + index, 10 + index));
        }
        listBoth(new Listing(items, 5));
        tellerView.applyChanges(new Changes(removals, 2_000), USUAL);

        assertThat(tellerView.updateFrom(new ViewVersion(85, 1), false).isWhole())
                .isTrue();
        assertThat(tellerView.updateFrom(new ViewVersion(86, 1), false).isWhole())
                .isFalse();
        assertThat(tell(false)).isEqualTo(UpdateResult.APPLIED);
        assertThat(view.version()).isEqualTo(tellerView.version());
    }

    @Test
    void shouldTellTheWholeWhenForgottenRemovalsCameInAnotherOrderThanTheirRevisions() {
        List<Item> items = new ArrayList<>(List.of(item("late", 3)));
        List<ItemChange> removals = new ArrayList<>(List.of(removed("late", 3_000)));
        for (int index = 0; index < 1_100; index++) {
            items.add(item("k" + index, 3));
            removals.add(removed("k" + index, 10 + index));
        }
        tellerView.applyListing(new Listing(items, 5), USUAL);
        tellerView.applyChanges(new Changes(removals, 3_000), USUAL);

        assertThat(tellerView.updateFrom(new ViewVersion(2_500, 1), false).isWhole())
                .isTrue();
    }

    @Test
    void shouldTellTheWholeToAFollowerFromBeforeItsFirstListing() {
        tellerView.applyListing(listing(9, item("a", 3)), USUAL);

        assertThat(tellerView.updateFrom(new ViewVersion(8, 1), false).isWhole())
                .isTrue();
        assertThat(tellerView.updateFrom(new ViewVersion(9, 1), false).isWhole())
                .isFalse();
    }

    @Test
    void shouldRaiseItsRevisionByAConfirmationAndNeverLowerIt() {
        view.applyListing(listing(5, item("a", 3)), USUAL);

        view.confirm(9);
        view.confirm(7);

        assertThat(view.version()).isEqualTo(new ViewVersion(9, digest(item("a", 3))));
    }
}
