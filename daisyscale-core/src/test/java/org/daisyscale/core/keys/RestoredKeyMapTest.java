package org.daisyscale.core.keys;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.daisyscale.core.platform.EraRevision;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyMap;
import org.junit.jupiter.api.Test;

/** The store is restored from a copy whose key map is older than the one that servers and routers know. */
class RestoredKeyMapTest extends KeyControllerScenario {
    /** The lowest version and fence of era 1, above all that era 0 can have used. */
    private static final long ERA_1 = 1L << 40;

    private static final long WAIT_MILLIS = 10_200;

    private static long revision(long era, long revision) {
        return new EraRevision(era, revision).packed();
    }

    /** The map as it was in the copy. */
    private static KeyMap copiedMap() {
        KeyAssignment first = new KeyAssignment(0, 32_767, owner("k1"), 3, true, List.of());
        KeyAssignment second = new KeyAssignment(32_768, KeyMap.KEY_COUNT - 1, owner("k2"), 4, true, List.of());
        return new KeyMap("stock", 3, 0, 5, List.of(first, second));
    }

    private List<KeyAction> restoreAndTakeControlAgain(boolean isControlUnbroken) {
        handle(new KeyEvent.StoreRestored(1, isControlUnbroken));
        List<KeyAction> actions = handle(new KeyEvent.LeaseRenewed(nowNanos() + 60_000 * MILLI));
        assertThat(actionsOf(KeyAction.ReadMap.class, actions)).hasSize(1);
        return handle(new KeyEvent.MapRead(copiedMap(), revision(1, 30)));
    }

    private static KeyAction.WriteMap write(List<KeyAction> actions) {
        return actionsOf(KeyAction.WriteMap.class, actions).get(0);
    }

    @Test
    void shouldHaveNoControlFromTheMomentOfTheRestoreOn() {
        leadWithTwoOwners();

        handle(new KeyEvent.StoreRestored(1, true));

        assertThat(grants(advance(3_000))).isEmpty();
    }

    @Test
    void shouldGrantUnderFencesAboveAllOfTheEraBefore() {
        leadWithTwoOwners();

        KeyAction.WriteMap written = write(restoreAndTakeControlAgain(true));

        assertThat(written.expectedRevision()).isEqualTo(revision(1, 30));
        assertThat(written.map().version()).isGreaterThanOrEqualTo(ERA_1);
        assertThat(written.map().nextFence()).isGreaterThan(ERA_1);
        List<KeyAction> actions = new ArrayList<>(handle(new KeyEvent.MapWritten(written.map(), revision(1, 31))));
        actions.addAll(advance(50));
        assertThat(grants(actions)).hasSize(2).allMatch(grant -> grant.fence() >= ERA_1);
    }

    @Test
    void shouldKeepTheMoveThatTheRestoredStoreLost() {
        leadWithTwoOwners();
        KeyMap moved = drainFirstOwner();
        handle(new KeyEvent.MapWritten(moved, 32));

        KeyMap again = write(restoreAndTakeControlAgain(true)).map();

        assertThat(again.isNewerThan(moved)).isTrue();
        assertThat(again.assignments()).extracting(KeyAssignment::owner).containsOnly(owner("k2"));
    }

    @Test
    void shouldWriteItsMapAgainIfTheRestoredStoreHasNone() {
        leadWithTwoOwners();
        handle(new KeyEvent.StoreRestored(1, true));
        handle(new KeyEvent.LeaseRenewed(nowNanos() + 60_000 * MILLI));

        KeyAction.WriteMap written = write(handle(new KeyEvent.MapAbsent("stock")));

        assertThat(written.expectedRevision()).isZero();
        assertThat(written.map().assignments()).extracting(KeyAssignment::owner).contains(owner("k1"), owner("k2"));
        assertThat(written.map().version()).isGreaterThanOrEqualTo(ERA_1);
    }

    /** Guards against two holders: the lost map may have moved keys without the knowledge of this controller. */
    @Test
    void shouldWaitForTheHoldsOfLostMovesIfItDidNotControlTheKeysUntilTheRestore() {
        registerService("k1", "k2");
        List<KeyAction> actions = new ArrayList<>(restoreAndTakeControlAgain(false));
        actions.addAll(advance(WAIT_MILLIS));

        assertThat(actionsOf(KeyAction.WriteMap.class, actions)).isEmpty();
        assertThat(grants(actions)).isEmpty();
        KeyMap written = write(advance(500)).map();
        actions = new ArrayList<>(handle(new KeyEvent.MapWritten(written, revision(1, 31))));
        actions.addAll(advance(50));
        assertThat(grants(actions)).hasSize(2).allMatch(grant -> grant.fence() >= ERA_1);
    }

    @Test
    void shouldWaitAlthoughItOnceControlledTheKeysIfItLostTheControlBeforeTheRestore() {
        leadWithTwoOwners();
        handle(new KeyEvent.LeaseLost());

        List<KeyAction> actions = new ArrayList<>(restoreAndTakeControlAgain(true));
        actions.addAll(advance(WAIT_MILLIS));

        assertThat(grants(actions)).isEmpty();
    }

    @Test
    void shouldWaitIfAnotherControllerWroteANewerMapBeforeTheRestore() {
        leadWithTwoOwners();
        handle(new KeyEvent.StoreRestored(1, true));
        handle(new KeyEvent.LeaseRenewed(nowNanos() + 60_000 * MILLI));
        KeyMap newer = new KeyMap("stock", 9, 0, 90_000, copiedMap().assignments());

        List<KeyAction> actions = new ArrayList<>(handle(new KeyEvent.MapRead(newer, revision(1, 30))));
        actions.addAll(advance(WAIT_MILLIS));

        assertThat(grants(actions)).isEmpty();
    }

    /** Guards against a second restore that counts the control of a router as unbroken which never saw all moves. */
    @Test
    void shouldWaitAgainIfTheStoreIsRestoredASecondTimeDuringTheWait() {
        registerService("k1", "k2");
        restoreAndTakeControlAgain(false);
        handle(new KeyEvent.StoreRestored(2, true));
        handle(new KeyEvent.LeaseRenewed(nowNanos() + 60_000 * MILLI));

        List<KeyAction> actions = new ArrayList<>(handle(new KeyEvent.MapRead(copiedMap(), revision(2, 30))));
        actions.addAll(advance(WAIT_MILLIS));

        assertThat(grants(actions)).isEmpty();
    }

    @Test
    void shouldNotWaitForAMapThatWasWrittenInTheCurrentEra() {
        registerService("k1", "k2");
        handle(new KeyEvent.StoreRestored(1, false));
        handle(new KeyEvent.LeaseRenewed(nowNanos() + 60_000 * MILLI));
        KeyMap current = new KeyMap("stock", ERA_1, 0, ERA_1 + 5, copiedMap().assignments());

        KeyMap written =
                write(handle(new KeyEvent.MapRead(current, revision(1, 30)))).map();

        assertThat(written.version()).isEqualTo(ERA_1 + 1);
    }

    @Test
    void shouldIgnoreTheMapsThatWereReadOrWrittenBeforeTheRestore() {
        KeyMap before = leadWithTwoOwners();
        handle(new KeyEvent.StoreRestored(1, true));
        handle(new KeyEvent.LeaseRenewed(nowNanos() + 60_000 * MILLI));

        List<KeyAction> actions = new ArrayList<>(handle(new KeyEvent.MapWritten(before, 33)));
        actions.addAll(handle(new KeyEvent.MapRead(before, 33)));
        actions.addAll(advance(500));

        assertThat(actionsOf(KeyAction.WriteMap.class, actions)).isEmpty();
        assertThat(grants(actions)).isEmpty();
    }

    @Test
    void shouldBeginWithTheFencesOfTheEraInWhichItStarts() {
        registerService("k1", "k2");
        handle(new KeyEvent.EraKnown(7));
        renewLease(60_000);

        KeyMap initial = write(handle(new KeyEvent.MapAbsent("stock"))).map();

        assertThat(initial.version()).isEqualTo(7 * ERA_1);
        assertThat(initial.assignments()).allMatch(assignment -> assignment.fence() > 7 * ERA_1);
    }
}
