package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.daisyscale.core.peer.PeerMessage.StoreProgress;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.core.platform.PrefixChange;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.junit.jupiter.api.Test;

class FleetWatchReportsTest {
    private final ScriptedStore store = new ScriptedStore();
    private final List<String> lines = new ArrayList<>();
    private final List<UpdateResult> results = new ArrayList<>();
    private final Ring<PrefixChange> updates = new ArrayRing<>("updates", 4);
    private final ConfirmedWatchGuard guard =
            new ConfirmedWatchGuard("servers/", progress -> {}, () -> false, nanos -> {}, System::nanoTime);
    private final FleetWatchDuty duty = new FleetWatchDuty(
            store,
            "servers/",
            guard,
            0,
            updates,
            published -> {},
            new UnusedListener(),
            new WatchReports((event, detail) -> lines.add(event + " " + detail), results::add));

    private static CoordinationStore.Item item(String key, long revision) {
        return new CoordinationStore.Item(key, new byte[0], revision);
    }

    private void listOneServer() throws InterruptedException {
        store.enqueueListing(new CoordinationStore.Listing(List.of(item("servers/a", 4)), 5));
        duty.runStep();
    }

    private List<String> linesOf(String event) {
        return lines.stream().filter(line -> line.startsWith(event + " ")).toList();
    }

    @Test
    void shouldReportAChangeThatDoesNotApplyOnceForTheRevisionThatIsHeld() throws InterruptedException {
        listOneServer();
        guard.confirm(new StoreProgress("servers/", 10));
        updates.put(new PrefixChange("servers/", 7, 9, List.of(item("servers/b", 9)), Set.of()));
        updates.put(new PrefixChange("servers/", 9, 10, List.of(item("servers/b", 10)), Set.of()));
        duty.runStep();
        Thread.sleep(ConfirmedWatchGuard.MAX_LAG_MILLIS + 10);
        store.enqueueListing(new CoordinationStore.Listing(List.of(item("servers/b", 10)), 11));

        duty.runStep();
        duty.runStep();

        assertThat(linesOf("store-change-skipped"))
                .containsExactly("store-change-skipped prefix=servers/ heldRevision=5 fromRevision=7 toRevision=9"
                        + " reason=does-not-apply skippedBefore=0");
        assertThat(linesOf("store-changes-caught-up"))
                .containsExactly("store-changes-caught-up prefix=servers/ revision=11 skippedBefore=1");
    }

    @Test
    void shouldSayWhatBecameOfEachChangeThatTheControllerRead() throws InterruptedException {
        listOneServer();
        guard.confirm(new StoreProgress("servers/", 9));
        updates.put(new PrefixChange("servers/", 1, 3, List.of(), Set.of("servers/b")));
        updates.put(new PrefixChange("servers/", 7, 9, List.of(item("servers/b", 9)), Set.of()));
        updates.put(new PrefixChange("servers/", 4, 9, List.of(item("servers/b", 9)), Set.of()));

        duty.runStep();

        assertThat(results).containsExactly(UpdateResult.OLDER, UpdateResult.DOES_NOT_APPLY, UpdateResult.APPLIED);
    }

    @Test
    void shouldReportAChangeThatArrivesBeforeTheItemsAreListed() throws InterruptedException {
        updates.put(new PrefixChange("servers/", 4, 9, List.of(item("servers/b", 9)), Set.of()));

        duty.runStep();

        assertThat(linesOf("store-change-skipped"))
                .singleElement()
                .asString()
                .endsWith(" reason=not-listed skippedBefore=0");
    }

    @Test
    void shouldReportAChangeThatIsOlderThanWhatWasRead() throws InterruptedException {
        store.enqueueListing(new CoordinationStore.Listing(List.of(), 12));
        updates.put(new PrefixChange("servers/", 4, 9, List.of(item("servers/a", 9)), Set.of()));

        duty.runStep();

        assertThat(linesOf("store-change-skipped"))
                .containsExactly("store-change-skipped prefix=servers/ heldRevision=12 fromRevision=4 toRevision=9"
                        + " reason=older skippedBefore=0");
    }

    @Test
    void shouldReportWhereTheViewComesFrom() throws InterruptedException {
        listOneServer();
        guard.confirm(new StoreProgress("servers/", 4));
        duty.runStep();
        Thread.sleep(ConfirmedWatchGuard.CONFIRMATION_TIMEOUT_MILLIS);

        duty.runStep();
        duty.runStep();
        duty.runStep();

        assertThat(linesOf("view-source-changed"))
                .extracting(line -> line.replaceAll(".* source=(\\S+) reason=(\\S+) .*", "$1 $2"))
                .containsExactly(
                        "store not-listed",
                        "controller controller-confirms",
                        "store controller-silent",
                        "store store-failed");
    }

    /** Ignores the items, because these tests read only reports. */
    private static final class UnusedListener implements FleetWatchDuty.Listener {

        @Override
        public void onWritten(CoordinationStore.Item item, long maxAgeMillis) {
            // Not needed by these tests.
        }

        @Override
        public void onRemoved(String key) {
            // Not needed by these tests.
        }

        @Override
        public void onListed() {
            // Not needed by these tests.
        }
    }
}
