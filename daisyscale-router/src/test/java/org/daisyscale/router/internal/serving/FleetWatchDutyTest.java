package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.daisyscale.core.platform.CoordinationStore;
import org.junit.jupiter.api.Test;

class FleetWatchDutyTest {
    private final ScriptedStore store = new ScriptedStore();
    private final List<String> notifications = new ArrayList<>();
    private final FleetWatchDuty duty = new FleetWatchDuty(
            store,
            "servers/",
            new ConfirmedWatchGuard("servers/", progress -> {}, () -> false, () -> {}, System::nanoTime),
            0,
            new FleetWatchDuty.Listener() {
                @Override
                public void onWritten(CoordinationStore.Item item) {
                    if (item.key().equals("servers/odd")) {
                        throw new IllegalStateException("the listener cannot handle this item");
                    }
                    notifications.add("written " + item.key() + "@" + item.revision());
                }

                @Override
                public void onRemoved(String key) {
                    notifications.add("removed " + key);
                }

                @Override
                public void onListed() {
                    notifications.add("listed");
                }
            });

    private static CoordinationStore.Item item(String key, long revision) {
        return new CoordinationStore.Item(key, new byte[0], revision);
    }

    private static CoordinationStore.Changes removed(String key, long revision) {
        return new CoordinationStore.Changes(
                List.of(new CoordinationStore.ItemChange(key, revision, Optional.empty())), revision);
    }

    @Test
    void shouldNotifyOfItemsAndOfTheirRemoval() throws InterruptedException {
        store.enqueueListing(new CoordinationStore.Listing(List.of(item("servers/a", 4)), 5));
        store.enqueueWatchResult(Optional.of(removed("servers/a", 6)));

        duty.runStep();
        duty.runStep();

        assertThat(notifications).containsExactly("written servers/a@4", "listed", "removed servers/a");
    }

    @Test
    void shouldFollowTheOtherItemsWhenTheListenerFailsOnOne() throws InterruptedException {
        store.enqueueListing(new CoordinationStore.Listing(List.of(item("servers/odd", 4), item("servers/a", 5)), 5));
        store.enqueueWatchResult(Optional.of(removed("servers/a", 6)));

        duty.runStep();
        duty.runStep();

        assertThat(notifications).containsExactly("written servers/a@5", "listed", "removed servers/a");
    }

    @Test
    void shouldListAgainWhenTheHistoryIsGone() throws InterruptedException {
        store.enqueueListing(new CoordinationStore.Listing(List.of(item("servers/a", 4)), 5));
        store.enqueueWatchResult(Optional.empty());
        store.enqueueListing(new CoordinationStore.Listing(List.of(item("servers/b", 8)), 9));

        duty.runStep();
        duty.runStep();
        duty.runStep();

        assertThat(notifications).contains("removed servers/a", "written servers/b@8");
    }

    @Test
    void shouldListAgainWhenTheRevisionRoseAndTheWatchReportedNoChange() throws InterruptedException {
        store.enqueueListing(new CoordinationStore.Listing(List.of(item("servers/a", 4)), 5));
        store.enqueueWatchResult(Optional.of(new CoordinationStore.Changes(List.of(), 8)));
        store.enqueueListing(new CoordinationStore.Listing(List.of(item("servers/a", 7)), 9));

        duty.runStep();
        duty.runStep();
        duty.runStep();

        assertThat(notifications).contains("written servers/a@7");
    }

    @Test
    void shouldListAgainAfterAFailedWatch() throws InterruptedException {
        store.enqueueListing(new CoordinationStore.Listing(List.of(item("servers/a", 4)), 5));
        store.enqueueListing(new CoordinationStore.Listing(List.of(item("servers/a", 7)), 9));

        duty.runStep();
        duty.runStep();
        duty.runStep();

        assertThat(notifications).contains("written servers/a@7");
    }

    @Test
    void shouldKeepItemsThatLapsedInALongOutageDuringTheGracePeriod() throws InterruptedException {
        store.enqueueListing(new CoordinationStore.Listing(List.of(item("servers/a", 4)), 5));
        duty.runStep();
        runStepsFor(1_200);
        store.enqueueListing(new CoordinationStore.Listing(List.of(), 20));

        duty.runStep();

        assertThat(notifications).doesNotContain("removed servers/a");
    }

    @Test
    void shouldNotifyOfARemovalOnceTheGracePeriodIsOver() throws InterruptedException {
        store.enqueueListing(new CoordinationStore.Listing(List.of(item("servers/a", 4)), 5));
        duty.runStep();
        runStepsFor(1_200);
        store.enqueueListing(new CoordinationStore.Listing(List.of(item("servers/a", 4)), 20));
        duty.runStep();
        Thread.sleep(1_500);

        store.enqueueWatchResult(Optional.of(removed("servers/a", 21)));
        duty.runStep();
        assertThat(notifications).doesNotContain("removed servers/a");
        Thread.sleep(600);
        store.enqueueWatchResult(Optional.of(new CoordinationStore.Changes(List.of(), 21)));
        duty.runStep();

        assertThat(notifications).contains("removed servers/a");
    }

    private void runStepsFor(long millis) throws InterruptedException {
        long endNanos = System.nanoTime() + millis * 1_000_000L;
        while (System.nanoTime() - endNanos < 0) {
            duty.runStep();
        }
    }
}
