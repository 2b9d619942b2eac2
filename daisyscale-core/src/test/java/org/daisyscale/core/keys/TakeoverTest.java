package org.daisyscale.core.keys;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.core.serving.ServingEvent;
import org.junit.jupiter.api.Test;

/** Guards against a controller that gives keys on while a grant of an earlier controller may still take effect. */
class TakeoverTest extends KeyControllerScenario {
    private static final long LATE_MILLIS = 3_000;

    private static KeyMap movingMap(long lateGrantMillis) {
        KeyAssignment moving = new KeyAssignment(0, 32_767, owner("k1"), 3, true, List.of())
                .movedTo(owner("k2"), 7)
                .withLateGrants(lateGrantMillis);
        KeyAssignment other = new KeyAssignment(32_768, KeyMap.KEY_COUNT - 1, owner("k2"), 4, true, List.of());
        return new KeyMap("stock", 3, 0, 8, List.of(moving, other));
    }

    /** Takes over from a controller that stored {@code map}; {@code k1} drains. */
    private List<KeyAction> takeOver(KeyMap map) {
        registerService("k1", "k2");
        changeFleet(new ServingEvent.ServerChanged(server("k1", 1, true)));
        renewLease(60_000);
        List<KeyAction> afterRead = handle(new KeyEvent.MapRead(map, 30));
        KeyMap withFences =
                actionsOf(KeyAction.WriteMap.class, afterRead).get(0).map();
        List<KeyAction> actions = new ArrayList<>(afterRead);
        actions.addAll(handle(new KeyEvent.MapWritten(withFences, 31)));
        return actions;
    }

    private static List<KeyAction.SendRelease> releases(List<KeyAction> actions) {
        return actionsOf(KeyAction.SendRelease.class, actions);
    }

    @Test
    void shouldReleaseAMovingRangeAtOnceWhenNoGrantToItsPredecessorMayTakeEffect() {
        assertThat(releases(takeOver(movingMap(0)))).hasSize(1);
    }

    @Test
    void shouldReleaseAMovingRangeOnlyWhenTheLateGrantsToItsPredecessorHaveExpired() {
        List<KeyAction> meanwhile = takeOver(movingMap(LATE_MILLIS));
        meanwhile.addAll(advance(LATE_MILLIS - 50));

        assertThat(releases(meanwhile)).isEmpty();
        assertThat(grants(meanwhile)).noneMatch(grant -> grant.firstKey() < 32_768);
        assertThat(releases(advance(100))).hasSize(1);
    }

    @Test
    void shouldKeepTheTimeOfLateGrantsInTheMapForAThirdController() {
        KeyMap rewritten = actionsOf(KeyAction.WriteMap.class, takeOver(movingMap(LATE_MILLIS)))
                .get(0)
                .map();

        assertThat(rewritten.assignments().get(0).lateGrantMillis()).isEqualTo(LATE_MILLIS);
    }

    @Test
    void shouldNeverGrantTheRangeToThePredecessorAgain() {
        List<KeyAction> actions = takeOver(movingMap(LATE_MILLIS));
        actions.addAll(advance(LATE_MILLIS + 1_000));

        assertThat(grants(actions)).noneMatch(grant -> grant.owner().equals(owner("k1")));
    }

    @Test
    void shouldMoveARangeOfAnEarlierControllerOnlyAfterAProofOfItsOwner() {
        KeyAssignment all = new KeyAssignment(0, KeyMap.KEY_COUNT - 1, owner("k1"), 3, true, List.of());
        List<KeyAction> actions = takeOver(new KeyMap("stock", 3, 0, 5, List.of(all)));

        List<KeyAction.SendGrant> proofs = grants(actions);
        assertThat(proofs).singleElement().matches(KeyAction.SendGrant::needsProof);
        List<KeyAction> afterProof =
                handle(new KeyEvent.GrantAccepted(proofs.get(0).callId(), true));

        KeyMap moved = actionsOf(KeyAction.WriteMap.class, afterProof).get(0).map();
        assertThat(moved.assignments()).allMatch(range -> range.owner().equals(owner("k2")));
        assertThat(releases(handle(new KeyEvent.MapWritten(moved, 32)))).isNotEmpty();
    }

    @Test
    void shouldNotTakeAProofForSomeKeysAsOneForOtherKeysOfTheRange() {
        KeyAssignment all = new KeyAssignment(0, KeyMap.KEY_COUNT - 1, owner("k1"), 3, true, List.of());
        KeyMap map = new KeyMap("stock", 3, 0, 5, List.of(all.withKeys(0, 99), all.withKeys(100, all.lastKey())));
        List<KeyAction.SendGrant> proofs = grants(takeOver(map));
        assertThat(proofs).hasSize(2);

        handle(new KeyEvent.GrantAccepted(proofs.get(0).callId(), true));
        List<KeyAction> afterWait = advance(200);

        assertThat(actionsOf(KeyAction.WriteMap.class, afterWait).get(0).map().assignments())
                .filteredOn(range -> range.owner().equals(owner("k1")))
                .singleElement()
                .matches(range -> range.firstKey() == 100 && range.isSettled());
    }
}
