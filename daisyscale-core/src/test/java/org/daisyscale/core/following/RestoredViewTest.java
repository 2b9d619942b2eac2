package org.daisyscale.core.following;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.daisyscale.core.platform.CoordinationStore.Changes;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.ItemChange;
import org.daisyscale.core.platform.CoordinationStore.Listing;
import org.daisyscale.core.platform.EraRevision;
import org.daisyscale.core.serving.EventTime;
import org.junit.jupiter.api.Test;

/** A view of a store that is restored from an older copy, whose revisions go back. */
class RestoredViewTest {
    private static final ReadCircumstances USUAL = new ReadCircumstances(EventTime.UNKNOWN, false);

    private final InForce inForce = new InForce();
    private final InForce inForceAtTeller = new InForce();
    private final ItemView view = new ItemView("p/", inForce);
    private final ItemView teller = new ItemView("p/", inForceAtTeller);

    /** The values that a listener was told, by key. */
    private static final class InForce implements ViewListener {
        private final Map<String, String> valueByKey = new TreeMap<>();
        private int writtenCount;

        @Override
        public void onWritten(Item item, EventTime writtenAt) {
            writtenCount++;
            valueByKey.put(item.key(), new String(item.value(), StandardCharsets.UTF_8));
        }

        @Override
        public void onRemoved(String key) {
            valueByKey.remove(key);
        }

        @Override
        public void onComplete() {
            // The tests look at single items.
        }
    }

    private static long revision(long era, long revision) {
        return new EraRevision(era, revision).packed();
    }

    private static Item item(String key, String value, long revision) {
        return new Item(key, value.getBytes(StandardCharsets.UTF_8), revision);
    }

    private static Listing listing(long revision, Item... items) {
        return new Listing(List.of(items), revision);
    }

    private static Changes written(Item item) {
        return new Changes(List.of(new ItemChange(item.key(), item.revision(), Optional.of(item))), item.revision());
    }

    private static Changes removed(String key, long revision) {
        return new Changes(List.of(new ItemChange(key, revision, Optional.empty())), revision);
    }

    private UpdateResult tell() {
        return view.applyUpdate(teller.updateFrom(view.version(), true), "r1", EventTime.UNKNOWN);
    }

    @Test
    void shouldKeepWhatTheRestoredStoreLacksUntilTheGracePeriodEnds() {
        view.applyListing(listing(200, item("evacuated", "", 180)), USUAL);

        view.applyListing(listing(revision(1, 150)), USUAL);
        view.applyListing(listing(revision(1, 151)), USUAL);

        assertThat(inForce.valueByKey).containsKey("evacuated");
        assertThat(view.hasLapsed()).isTrue();
        view.removeLapsed();
        assertThat(inForce.valueByKey).isEmpty();
    }

    /** Guards against a server that is leaving and gets requests again because the store forgot its announcement. */
    @Test
    void shouldKeepTheNewerValueWhereTheRestoredStoreHasAnOlderOne() {
        view.applyListing(listing(200, item("server", "draining", 180)), USUAL);

        view.applyListing(listing(revision(1, 150), item("server", "ready", revision(1, 120))), USUAL);

        assertThat(inForce.valueByKey).containsEntry("server", "draining");
        view.removeLapsed();
        assertThat(inForce.valueByKey).containsEntry("server", "ready");
        assertThat(view.hasLapsed()).isFalse();
    }

    @Test
    void shouldApplyWhatIsWrittenAgainAtOnceAlthoughItsRevisionWasAssignedBefore() {
        view.applyListing(listing(200, item("server", "draining", 180)), USUAL);
        view.applyListing(listing(revision(1, 150), item("server", "ready", revision(1, 120))), USUAL);

        view.applyChanges(written(item("server", "gone soon", revision(1, 160))), USUAL);
        view.applyChanges(written(item("other", "new", revision(1, 161))), USUAL);

        assertThat(inForce.valueByKey).containsEntry("server", "gone soon").containsEntry("other", "new");
        view.removeLapsed();
        assertThat(inForce.valueByKey).containsEntry("server", "gone soon");
    }

    @Test
    void shouldNotBringBackBeforeTheGracePeriodEndsWhatWasRemovedBeforeTheRestore() {
        view.applyListing(listing(200, item("evacuated", "", 180)), USUAL);
        view.applyChanges(removed("evacuated", 201), USUAL);

        view.applyListing(listing(revision(1, 190), item("evacuated", "", revision(1, 180))), USUAL);

        assertThat(inForce.valueByKey).isEmpty();
        view.applyChanges(removed("evacuated", revision(1, 191)), USUAL);
        view.removeLapsed();
        assertThat(inForce.valueByKey).isEmpty();
    }

    /** A server would count as cold again if its registration were reported as just written. */
    @Test
    void shouldNotReportAnItemAgainOfWhichOnlyTheEraChanged() {
        view.applyListing(listing(200, item("server", "ready", 100)), USUAL);

        view.applyListing(listing(revision(1, 150), item("server", "ready", revision(1, 100))), USUAL);

        assertThat(inForce.writtenCount).isEqualTo(1);
        assertThat(view.version().digest()).isEqualTo(ItemDigest.of("server", revision(1, 100)));
    }

    @Test
    void shouldIgnoreLateResponsesOfTheOlderEra() {
        view.applyListing(listing(200, item("a", "old", 180)), USUAL);
        view.applyListing(listing(revision(1, 150), item("a", "new", revision(1, 149))), USUAL);
        view.removeLapsed();
        ViewVersion held = view.version();

        view.applyListing(listing(300, item("a", "late", 290), item("b", "late", 291)), USUAL);
        view.applyChanges(written(item("a", "late", 290)), USUAL);

        assertThat(inForce.valueByKey).containsExactlyEntriesOf(Map.of("a", "new"));
        assertThat(view.version()).isEqualTo(held);
    }

    @Test
    void shouldFollowATellerOfANewerEraAndKeepWhatOnlyTheLostRevisionsHeld() {
        teller.applyListing(listing(170, item("a", "1", 100)), USUAL);
        view.applyListing(listing(200, item("a", "2", 190), item("evacuated", "", 180)), USUAL);
        teller.applyListing(listing(revision(1, 150), item("a", "1", revision(1, 100))), USUAL);

        assertThat(tell()).isEqualTo(UpdateResult.APPLIED);

        assertThat(view.version()).isEqualTo(teller.version());
        assertThat(inForce.valueByKey).containsEntry("a", "2").containsKey("evacuated");
        view.removeLapsed();
        assertThat(inForce.valueByKey).containsExactlyEntriesOf(Map.of("a", "1"));
    }

    @Test
    void shouldRefuseUpdatesOfATellerThatHasNotNoticedTheNewEra() {
        teller.applyListing(listing(200, item("a", "old", 180)), USUAL);
        view.applyListing(listing(revision(1, 150)), USUAL);

        assertThat(tell()).isEqualTo(UpdateResult.OLDER);
        assertThat(inForce.valueByKey).isEmpty();
    }

    @Test
    void shouldHoldBackThroughASecondRestoreWhatTheFirstOneBroughtBack() {
        view.applyListing(listing(200, item("server", "draining", 180)), USUAL);
        view.applyListing(listing(revision(1, 150), item("server", "ready", revision(1, 120))), USUAL);

        view.applyListing(listing(revision(2, 150), item("server", "ready", revision(2, 120))), USUAL);

        assertThat(inForce.valueByKey).containsEntry("server", "draining");
        view.removeLapsed();
        assertThat(inForce.valueByKey).containsEntry("server", "ready");
    }
}
