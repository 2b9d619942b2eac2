package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.router.serving.StoreException;
import org.junit.jupiter.api.Test;

class FleetWatchDutyTest {
    private final ScriptedStore store = new ScriptedStore();
    private final List<String> told = new ArrayList<>();
    private final FleetWatchDuty duty = new FleetWatchDuty(
            store,
            "servers/",
            new FollowedWatch("servers/", progress -> {}, () -> {}, System::nanoTime),
            0,
            new FleetWatchDuty.Listener() {
                @Override
                public void written(CoordinationStore.Item item) {
                    if (item.key().equals("servers/odd")) {
                        throw new IllegalStateException("an item that can't be taken");
                    }
                    told.add("written " + item.key() + "@" + item.revision());
                }

                @Override
                public void removed(String key) {
                    told.add("removed " + key);
                }

                @Override
                public void listed() {
                    told.add("listed");
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
    void shouldTellOfItemsAndOfTheirRemoval() throws InterruptedException {
        store.listings.add(new CoordinationStore.Listing(List.of(item("servers/a", 4)), 5));
        store.watches.add(Optional.of(removed("servers/a", 6)));

        duty.runStep();
        duty.runStep();

        assertThat(told).containsExactly("written servers/a@4", "listed", "removed servers/a");
    }

    @Test
    void shouldFollowTheOtherItemsWhenOneCannotBeTaken() throws InterruptedException {
        store.listings.add(new CoordinationStore.Listing(List.of(item("servers/odd", 4), item("servers/a", 5)), 5));
        store.watches.add(Optional.of(removed("servers/a", 6)));

        duty.runStep();
        duty.runStep();

        assertThat(told).containsExactly("written servers/a@5", "listed", "removed servers/a");
    }

    @Test
    void shouldListAgainWhenTheHistoryIsGone() throws InterruptedException {
        store.listings.add(new CoordinationStore.Listing(List.of(item("servers/a", 4)), 5));
        store.watches.add(Optional.empty());
        store.listings.add(new CoordinationStore.Listing(List.of(item("servers/b", 8)), 9));

        duty.runStep();
        duty.runStep();
        duty.runStep();

        assertThat(told).contains("removed servers/a", "written servers/b@8");
    }

    @Test
    void shouldListAgainWhenTheStoreMovedOnAndTheWatchHeardNothing() throws InterruptedException {
        store.listings.add(new CoordinationStore.Listing(List.of(item("servers/a", 4)), 5));
        store.watches.add(Optional.of(new CoordinationStore.Changes(List.of(), 8)));
        store.listings.add(new CoordinationStore.Listing(List.of(item("servers/a", 7)), 9));

        duty.runStep();
        duty.runStep();
        duty.runStep();

        assertThat(told).contains("written servers/a@7");
    }

    @Test
    void shouldListAgainWhenAWatchWasCut() throws InterruptedException {
        store.listings.add(new CoordinationStore.Listing(List.of(item("servers/a", 4)), 5));
        store.listings.add(new CoordinationStore.Listing(List.of(item("servers/a", 7)), 9));

        duty.runStep();
        duty.runStep();
        duty.runStep();

        assertThat(told).contains("written servers/a@7");
    }

    @Test
    void shouldGiveItemsThatLapsedInALongOutageTimeToReturn() throws InterruptedException {
        store.listings.add(new CoordinationStore.Listing(List.of(item("servers/a", 4)), 5));
        duty.runStep();
        runStepsFor(1_200);
        store.listings.add(new CoordinationStore.Listing(List.of(), 20));

        duty.runStep();

        assertThat(told).doesNotContain("removed servers/a");
    }

    @Test
    void shouldTellOfARemovalOnceTheTimeToReturnIsOver() throws InterruptedException {
        store.listings.add(new CoordinationStore.Listing(List.of(item("servers/a", 4)), 5));
        duty.runStep();
        runStepsFor(1_200);
        store.listings.add(new CoordinationStore.Listing(List.of(item("servers/a", 4)), 20));
        duty.runStep();
        Thread.sleep(1_500);

        store.watches.add(Optional.of(removed("servers/a", 21)));
        duty.runStep();
        assertThat(told).doesNotContain("removed servers/a");
        Thread.sleep(600);
        store.watches.add(Optional.of(new CoordinationStore.Changes(List.of(), 21)));
        duty.runStep();

        assertThat(told).contains("removed servers/a");
    }

    private void runStepsFor(long millis) throws InterruptedException {
        long endNanos = System.nanoTime() + millis * 1_000_000L;
        while (System.nanoTime() - endNanos < 0) {
            duty.runStep();
        }
    }

    /** Answers with what was put in, and is out of reach when there is nothing. */
    private static final class ScriptedStore implements CoordinationStore {
        private final Deque<Listing> listings = new ArrayDeque<>();
        private final Deque<Optional<Changes>> watches = new ArrayDeque<>();

        private static <T> T next(Deque<T> answers) {
            if (answers.isEmpty()) {
                throw new StoreException(StoreException.Code.UNREACHABLE, "out of reach", null);
            }
            return answers.remove();
        }

        @Override
        public Optional<Item> get(String key) {
            return Optional.empty();
        }

        @Override
        public Listing list(String prefix) {
            return next(listings);
        }

        @Override
        public Optional<Changes> watch(String prefix, long afterRevision, Duration wait, BooleanSupplier isOverdue) {
            return next(watches);
        }

        @Override
        public WriteEnd write(Change change) {
            throw new StoreException(StoreException.Code.UNREACHABLE, "out of reach", null);
        }

        @Override
        public long grantLease(Duration timeToLive) {
            return 1;
        }

        @Override
        public boolean renewLease(long leaseId) {
            return true;
        }

        @Override
        public void endLease(long leaseId) {
            // Nothing is bound to leases here.
        }
    }
}
