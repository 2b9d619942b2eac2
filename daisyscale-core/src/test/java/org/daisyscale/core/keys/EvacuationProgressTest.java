package org.daisyscale.core.keys;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.daisyscale.core.keys.KeyAction.EvacuationChanged;
import org.daisyscale.core.keys.KeyAction.EvacuationChanged.State;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.core.serving.ServingEvent;
import org.junit.jupiter.api.Test;

class EvacuationProgressTest extends KeyControllerScenario {
    private static final String EVACUATED = "dc2";

    private List<KeyAction> evacuateFirstOwner() {
        leadWithTwoOwners();
        changeFleet(new ServingEvent.ServerChanged(
                new BackendServer("k1", 1, "stock", "10.0.0.1", 80, EVACUATED, 3, false, 0)));
        return changeFleet(new ServingEvent.EvacuationsChanged(Set.of(EVACUATED)));
    }

    private static List<EvacuationChanged> changes(List<KeyAction> actions) {
        return actionsOf(EvacuationChanged.class, actions);
    }

    private List<KeyAction> acceptMoveAndRelease(List<KeyAction> actions) {
        KeyMap moved = actionsOf(KeyAction.WriteMap.class, actions).get(0).map();
        List<KeyAction> later = new ArrayList<>(handle(new KeyEvent.MapWritten(moved, 32)));
        actionsOf(KeyAction.SendRelease.class, later)
                .forEach(release -> later.addAll(handle(new KeyEvent.Released(release.callId(), ""))));
        return later;
    }

    @Test
    void shouldReportThatADataCentreBeginsToBeEmptied() {
        assertThat(changes(evacuateFirstOwner()))
                .containsExactly(new EvacuationChanged("stock", EVACUATED, State.STARTED, 1, 1, 0));
    }

    @Test
    void shouldReportTheCompletionOnlyWhenOwnersElsewhereHoldAllGrants() {
        List<KeyAction> started = evacuateFirstOwner();
        advance(100);

        List<KeyAction> moving = acceptMoveAndRelease(started);
        assertThat(changes(moving)).noneMatch(change -> change.state() == State.COMPLETED);
        List<KeyAction> granted = new ArrayList<>();
        grants(moving).forEach(grant -> granted.addAll(handle(new KeyEvent.GrantAccepted(grant.callId(), true))));

        assertThat(changes(granted))
                .containsExactly(new EvacuationChanged("stock", EVACUATED, State.COMPLETED, 1, 0, 100));
    }

    @Test
    void shouldCountTheKeysOfAServerThatIsNoLongerRegistered() {
        evacuateFirstOwner();

        List<KeyAction> actions = changeFleet(new ServingEvent.ServerRemoved("k1"));
        actions.addAll(advance(100));

        assertThat(changes(actions)).noneMatch(change -> change.state() == State.COMPLETED);
    }

    @Test
    void shouldReportThatItAbandonsAnEvacuationThatEndsOrThatItNoLongerControls() {
        evacuateFirstOwner();
        assertThat(changes(changeFleet(new ServingEvent.EvacuationsChanged(Set.of()))))
                .extracting(EvacuationChanged::state)
                .containsExactly(State.ABANDONED);

        changeFleet(new ServingEvent.EvacuationsChanged(Set.of(EVACUATED)));
        assertThat(changes(handle(new KeyEvent.LeaseLost())))
                .extracting(EvacuationChanged::state)
                .containsExactly(State.ABANDONED);
    }

    @Test
    void shouldReportNothingOfADataCentreWithoutKeys() {
        leadWithTwoOwners();

        List<KeyAction> actions = changeFleet(new ServingEvent.EvacuationsChanged(Set.of(EVACUATED)));
        actions.addAll(advance(100));

        assertThat(changes(actions)).isEmpty();
    }
}
