package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.daisyscale.core.following.ReadCircumstances;
import org.daisyscale.core.following.UpdateResult;
import org.daisyscale.core.following.ViewUpdate;
import org.daisyscale.core.following.ViewVersion;
import org.daisyscale.core.serving.EventTime;
import org.daisyscale.core.serving.RoutingTable;
import org.daisyscale.core.serving.ServingEvent;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares routers that read the store and tell each other with what was in the store. Updates are delayed, reordered,
 * repeated and lost; the router that tells others changes, starts again and skips versions.
 */
class OperatorStateModelTest {
    private static final int EPISODES = 200;
    private static final int STEPS = 120;
    private static final int ROUTERS = 3;
    /** A difference that does not apply, the whole view that answers it, and one more for a lost race. */
    private static final int MAX_ROUNDS = 3;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void shouldHoldWhatTheStoreHadAtItsRevisionAndNeverGoBack(long seed) {
        for (int episode = 0; episode < EPISODES; episode++) {
            new Episode(new SplittableRandom(seed * EPISODES + episode), "seed " + seed + " episode " + episode).run();
        }
    }

    /** One sequence of random steps. */
    private static final class Episode {
        private final RandomGenerator random;
        private final String name;
        private final ModelStore store;
        private final List<Router> routers = new ArrayList<>();
        private final List<Message> messages = new ArrayList<>();
        private int teller;

        Episode(RandomGenerator random, String name) {
            this.random = random;
            this.name = name;
            this.store = new ModelStore(random);
            for (int count = 0; count < ROUTERS; count++) {
                routers.add(new Router(store));
            }
        }

        void run() {
            for (int step = 0; step < STEPS; step++) {
                takeStep();
                routers.forEach(router -> router.check(name));
            }
            converge();
        }

        private Router any() {
            return routers.get(random.nextInt(ROUTERS));
        }

        private void takeStep() {
            switch (random.nextInt(16)) {
                case 0, 1, 2, 3 -> store.write();
                case 4, 5 -> routers.get(teller).read(random);
                case 6 -> any().read(random);
                case 7 -> confirm(any());
                case 8 -> changeTeller();
                case 9, 10, 11 -> tell(any());
                default -> deliver();
            }
        }

        /** Lets another router tell the others, or starts the one that does again. */
        private void changeTeller() {
            if (random.nextBoolean()) {
                teller = random.nextInt(ROUTERS);
            } else {
                routers.set(teller, new Router(store));
                routers.get(teller).list(store.revision());
            }
        }

        /** Confirms that {@code router} lacks nothing if it holds the same items as the teller. */
        private void confirm(Router router) {
            ViewVersion told = routers.get(teller).state.version();
            if (router.state.version().revision() > 0 && told.hasSameItems(router.state.version())) {
                router.state.confirm(told.revision());
            }
        }

        /** Sends a difference from what {@code router} holds or held once, or the whole view. */
        private void tell(Router router) {
            OperatorState state = routers.get(teller).state;
            ViewVersion held = router.heldVersions.get(random.nextInt(router.heldVersions.size()));
            if (state.canBeTold()) {
                boolean isWhole = random.nextInt(4) == 0 || held.revision() == 0;
                messages.add(new Message(router, state.updateFrom(held, isWhole)));
            }
        }

        /** Delivers any message, and sometimes keeps it to deliver it again, or loses it. */
        private void deliver() {
            if (!messages.isEmpty()) {
                Message message = messages.get(random.nextInt(messages.size()));
                if (random.nextInt(4) > 0) {
                    messages.remove(message);
                }
                if (random.nextInt(4) > 0) {
                    message.router().apply(message.update());
                }
            }
        }

        /** Lets the teller read the store and answer each router until that holds the same. */
        private void converge() {
            Router told = routers.get(teller);
            told.list(store.revision());
            if (!told.state.canBeTold()) {
                return;
            }
            for (Router router : routers) {
                int rounds = 0;
                boolean needsWhole = router.state.version().revision() == 0;
                while (!router.state.version().hasSameItems(told.state.version()) && rounds < MAX_ROUNDS) {
                    ViewUpdate update = told.state.updateFrom(router.state.version(), needsWhole);
                    needsWhole = router.apply(update).needsWhole();
                    rounds++;
                }
                assertThat(router.state.version().hasSameItems(told.state.version()))
                        .as("%s: the same is held after %d updates", name, rounds)
                        .isTrue();
                router.check(name);
            }
        }
    }

    private record Message(Router router, ViewUpdate update) {}

    /** One router, and what it reported to those that route requests. */
    private static final class Router {
        private final ModelStore store;
        private final OperatorState state;
        private final List<ViewVersion> heldVersions = new ArrayList<>(List.of(ViewVersion.NONE));
        private Optional<RoutingTable> table = Optional.empty();
        private Set<String> evacuated = Set.of();
        private long checkedRevision;
        private long checkedVersion;

        Router(ModelStore store) {
            this.store = store;
            this.state = new OperatorState(store, this::record, new Readiness());
        }

        private void record(ServingEvent event) {
            if (event instanceof ServingEvent.TableChanged changed) {
                table = Optional.of(changed.table());
            } else if (event instanceof ServingEvent.EvacuationsChanged changed) {
                evacuated = changed.dataCentres();
            }
        }

        /** Lists the store or waits for changes; the listing may be an older one. */
        void read(RandomGenerator random) {
            if (state.version().revision() == 0 || random.nextBoolean()) {
                list(Math.max(10, store.revision() - (random.nextInt(3) == 0 ? 4 : 0)));
            } else {
                state.applyChanges(
                        store.watch(state.version().revision()), new ReadCircumstances(EventTime.UNKNOWN, false));
            }
        }

        void list(long revision) {
            state.applyListing(store.list(revision), new ReadCircumstances(EventTime.UNKNOWN, false));
        }

        UpdateResult apply(ViewUpdate update) {
            return state.applyUpdate(update, "r7", EventTime.UNKNOWN);
        }

        void check(String name) {
            long revision = state.version().revision();
            long version = table.map(RoutingTable::version).orElse(0L);
            assertThat(revision).as("%s: the revision", name).isGreaterThanOrEqualTo(checkedRevision);
            assertThat(version).as("%s: the version of the table", name).isGreaterThanOrEqualTo(checkedVersion);
            table.ifPresent(
                    held -> assertThat(held).as("%s: the table", name).isEqualTo(store.tableOfVersion(held.version())));
            assertThat(evacuated).as("%s: evacuated at %d", name, revision).isEqualTo(store.evacuatedAt(revision));
            store.tableAt(revision)
                    .ifPresent(inStore -> assertThat(version)
                            .as("%s: the version at %d", name, revision)
                            .isEqualTo(inStore.version()));
            checkedRevision = revision;
            checkedVersion = version;
            if (!heldVersions.contains(state.version())) {
                heldVersions.add(state.version());
            }
        }
    }
}
