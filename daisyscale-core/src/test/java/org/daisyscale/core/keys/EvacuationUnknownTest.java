package org.daisyscale.core.keys;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;
import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.core.serving.RequestLimits;
import org.daisyscale.core.serving.RoutingTable;
import org.daisyscale.core.serving.ServiceRules;
import org.daisyscale.core.serving.ServingEvent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a controller that reads evacuations which it hasn't heard of yet as "none" (issue 63). What a
 * controller has to know arrives in any order, with steps of the controller between the parts.
 */
class EvacuationUnknownTest extends KeyControllerScenario {
    private static final String EVACUATED = "dc-evacuated";
    private static final BackendServer EMPTIED = server("e1", EVACUATED);
    private static final BackendServer OTHER = server("k1", "dc1");
    private static final Owner LOST = owner("lost");
    /** Longer than a step of the controller, the wait for postponed moves and the wait until a move is settled. */
    private static final long BETWEEN_PARTS_MILLIS = 700;

    private static final long LONG_ENOUGH_MILLIS = 15_000;

    /** A part of what a controller has to know before it gives keys to a server. */
    private enum Part {
        LEASE,
        CONFIGURATION,
        SERVERS,
        EVACUATIONS,
        MAP
    }

    /** The map in the store; null for none. */
    private KeyMap stored;

    private long revision;
    private boolean doesStoreAnswer;
    private boolean isReadOpen;
    private final List<KeyAction> seen = new ArrayList<>();

    private static BackendServer server(String id, String dataCentre) {
        return new BackendServer(id, 1, "stock", "10.0.0.1", 80, dataCentre, 3, false, 0);
    }

    static Stream<List<Part>> orders() {
        return permutations(List.of(Part.values()));
    }

    private static Stream<List<Part>> permutations(List<Part> parts) {
        if (parts.isEmpty()) {
            return Stream.of(List.of());
        }
        return IntStream.range(0, parts.size()).boxed().flatMap(index -> {
            List<Part> others = new ArrayList<>(parts);
            Part first = others.remove((int) index);
            return permutations(others).map(rest -> {
                List<Part> order = new ArrayList<>(List.of(first));
                order.addAll(rest);
                return order;
            });
        });
    }

    private void learn(Part part) {
        switch (part) {
            case LEASE -> run(handle(new KeyEvent.LeaseRenewed(nowNanos() + 60_000 * MILLI)));
            case CONFIGURATION ->
                run(changeFleet(new ServingEvent.TableChanged(new RoutingTable(
                        1,
                        List.of(),
                        Map.of("stock", new ServiceRules("stock", "/health", 120, 3_000, 7, true, 5_000)),
                        new RequestLimits(1, 1, 1, 1)))));
            case SERVERS -> run(changeFleet(new ServingEvent.ServersListed(List.of(EMPTIED, OTHER))));
            case EVACUATIONS -> run(changeFleet(new ServingEvent.EvacuationsChanged(Set.of(EVACUATED))));
            case MAP -> {
                doesStoreAnswer = true;
                answerRead();
            }
            default -> throw new IllegalArgumentException(part.name());
        }
        runFor(BETWEEN_PARTS_MILLIS);
    }

    private void answerRead() {
        if (isReadOpen && doesStoreAnswer) {
            isReadOpen = false;
            run(handle(stored == null ? new KeyEvent.MapAbsent("stock") : new KeyEvent.MapRead(stored, revision)));
        }
    }

    private void runFor(long millis) {
        for (long passed = 0; passed < millis; passed += 50) {
            run(advance(50));
        }
    }

    /** Lets the store accept each write and the servers each call, but for the lost one, which gives no answer. */
    private void run(List<KeyAction> actions) {
        seen.addAll(actions);
        for (KeyAction action : actions) {
            if (action instanceof KeyAction.ReadMap) {
                isReadOpen = true;
                answerRead();
            } else if (action instanceof KeyAction.WriteMap write) {
                stored = write.map();
                revision++;
                run(handle(new KeyEvent.MapWritten(stored, revision)));
            } else if (action instanceof KeyAction.SendGrant grant) {
                run(handle(
                        grant.owner().equals(LOST)
                                ? new KeyEvent.CallUnanswered(grant.callId(), true)
                                : new KeyEvent.GrantAccepted(grant.callId(), true)));
            } else if (action instanceof KeyAction.SendRelease release) {
                run(handle(
                        release.owner().equals(LOST)
                                ? new KeyEvent.CallUnanswered(release.callId(), true)
                                : new KeyEvent.Released(release.callId(), "")));
            }
        }
    }

    private static KeyMap map(KeyAssignment... assignments) {
        return new KeyMap("stock", 3, 0, 20, List.of(assignments));
    }

    private static KeyAssignment settled(int firstKey, int lastKey, Owner owner, long fence) {
        return new KeyAssignment(firstKey, lastKey, owner, fence, true, List.of());
    }

    private List<Owner> writtenOwners() {
        return actionsOf(KeyAction.WriteMap.class, seen).stream()
                .flatMap(write -> write.map().assignments().stream())
                .map(KeyAssignment::owner)
                .distinct()
                .toList();
    }

    private List<Owner> grantedOwners() {
        return grants(seen).stream().map(KeyAction.SendGrant::owner).distinct().toList();
    }

    @ParameterizedTest
    @MethodSource("orders")
    void shouldNeverGiveTheFirstKeysToServersOfAnEvacuatedDataCentre(List<Part> order) {
        order.forEach(this::learn);
        runFor(LONG_ENOUGH_MILLIS);

        assertThat(writtenOwners()).containsExactly(Owner.of(OTHER));
        assertThat(grantedOwners()).containsExactly(Owner.of(OTHER));
    }

    @ParameterizedTest
    @MethodSource("orders")
    void shouldNeverGiveTheKeysOfALostServerToServersOfAnEvacuatedDataCentre(List<Part> order) {
        stored = map(settled(0, 32_767, LOST, 3), settled(32_768, KeyMap.KEY_COUNT - 1, Owner.of(OTHER), 4));
        revision = 30;

        order.forEach(this::learn);
        runFor(LONG_ENOUGH_MILLIS);

        assertThat(writtenOwners()).doesNotContain(Owner.of(EMPTIED));
        assertThat(grantedOwners()).doesNotContain(Owner.of(EMPTIED));
        assertThat(stored.assignments())
                .allMatch(assignment ->
                        assignment.isSettled() && assignment.owner().equals(Owner.of(OTHER)));
    }

    @ParameterizedTest
    @MethodSource("orders")
    void shouldEmptyAnEvacuatedDataCentreOnceTheEvacuationIsKnown(List<Part> order) {
        stored = map(
                settled(0, 32_767, Owner.of(EMPTIED), 3), settled(32_768, KeyMap.KEY_COUNT - 1, Owner.of(OTHER), 4));
        revision = 30;

        order.forEach(this::learn);
        runFor(LONG_ENOUGH_MILLIS);

        assertThat(stored.assignments())
                .allMatch(assignment ->
                        assignment.isSettled() && assignment.owner().equals(Owner.of(OTHER)));
    }

    private void learnAllButEvacuations() {
        List.of(Part.LEASE, Part.CONFIGURATION, Part.SERVERS, Part.MAP).forEach(this::learn);
    }

    @Test
    void shouldMoveNoKeysWhileItDoesNotKnowTheEvacuations() {
        stored = map(settled(0, 32_767, LOST, 3), settled(32_768, KeyMap.KEY_COUNT - 1, Owner.of(OTHER), 4));
        revision = 30;

        learnAllButEvacuations();
        runFor(LONG_ENOUGH_MILLIS);

        assertThat(stored.assignments()).extracting(KeyAssignment::owner).containsExactly(LOST, Owner.of(OTHER));
    }

    @Test
    void shouldWriteNoInitialMapWhileItDoesNotKnowTheEvacuations() {
        learnAllButEvacuations();
        runFor(LONG_ENOUGH_MILLIS);

        assertThat(actionsOf(KeyAction.WriteMap.class, seen)).isEmpty();
    }

    @Test
    void shouldReserveFencesAndRenewStandingGrantsWhileItDoesNotKnowTheEvacuations() {
        stored = map(
                settled(0, 32_767, Owner.of(EMPTIED), 3), settled(32_768, KeyMap.KEY_COUNT - 1, Owner.of(OTHER), 4));
        revision = 30;

        learnAllButEvacuations();
        runFor(LONG_ENOUGH_MILLIS);
        seen.clear();
        runFor(2_400);

        assertThat(grantedOwners()).containsExactlyInAnyOrder(Owner.of(EMPTIED), Owner.of(OTHER));
    }

    @Test
    void shouldFinishAMoveUnderWayWhileItDoesNotKnowTheEvacuations() {
        KeyAssignment moving = settled(0, 32_767, Owner.of(EMPTIED), 3).movedTo(Owner.of(OTHER), 7);
        stored = map(moving, settled(32_768, KeyMap.KEY_COUNT - 1, Owner.of(OTHER), 4));
        revision = 30;

        learnAllButEvacuations();
        runFor(BETWEEN_PARTS_MILLIS);

        assertThat(actionsOf(KeyAction.SendRelease.class, seen)).hasSize(1);
        assertThat(stored.assignments())
                .allMatch(assignment ->
                        assignment.isSettled() && assignment.owner().equals(Owner.of(OTHER)));
    }
}
