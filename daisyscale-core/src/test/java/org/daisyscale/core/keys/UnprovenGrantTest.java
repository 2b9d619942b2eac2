package org.daisyscale.core.keys;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.core.serving.ServingEvent;
import org.junit.jupiter.api.Test;

/** Accepted grants whose answers may be copies of earlier ones. */
class UnprovenGrantTest extends KeyControllerScenario {

    /** Has {@code k1} answer its renewal with what may be a copy, and drains it. */
    private List<KeyAction> drainAfterAnUnprovenRenewal() {
        leadWithTwoOwners();
        grants(advance(1_100)).forEach(renewal -> handle(new KeyEvent.GrantAccepted(renewal.callId(), false)));
        List<KeyAction> actions = new ArrayList<>(changeFleet(new ServingEvent.ServerChanged(server("k1", 1, true))));
        actions.addAll(advance(50));
        return actions;
    }

    private static KeyMap writtenMap(List<KeyAction> actions) {
        List<KeyAction.WriteMap> writes = actionsOf(KeyAction.WriteMap.class, actions);
        assertThat(writes).hasSize(1);
        return writes.get(0).map();
    }

    private static List<KeyAction.SendGrant> proofs(List<KeyAction> actions) {
        return grants(actions).stream().filter(KeyAction.SendGrant::needsProof).toList();
    }

    private static List<KeyAction.SendRelease> releases(List<KeyAction> actions) {
        return actionsOf(KeyAction.SendRelease.class, actions);
    }

    /**
     * Guards against a proof that is asked for once the move is stored: the next controller would release the range and
     * know nothing of that grant (issue 57).
     */
    @Test
    void shouldAskForAProofBeforeItStoresTheMoveOfARangeWhoseRenewalMayHaveACopiedAnswer() {
        List<KeyAction> actions = drainAfterAnUnprovenRenewal();

        assertThat(releases(actions)).isEmpty();
        assertThat(actionsOf(KeyAction.WriteMap.class, actions)).isEmpty();
        assertThat(proofs(actions))
                .singleElement()
                .matches(proof -> proof.owner().equals(owner("k1")) && !proof.isRenewal());
    }

    @Test
    void shouldMoveTheRangeAtOnceAndGrantItUnderAHigherFenceAfterTheProof() {
        KeyAction.SendGrant proof = proofs(drainAfterAnUnprovenRenewal()).get(0);

        KeyMap moved = writtenMap(handle(new KeyEvent.GrantAccepted(proof.callId(), true)));

        assertThat(moved.assignments().get(0).lateGrantMillis()).isZero();
        List<KeyAction> afterWrite = handle(new KeyEvent.MapWritten(moved, 32));
        assertThat(releases(afterWrite)).hasSize(1);
        assertThat(proofs(afterWrite)).isEmpty();
        List<KeyAction> afterRelease =
                handle(new KeyEvent.Released(releases(afterWrite).get(0).callId(), ""));
        assertThat(grants(afterRelease))
                .filteredOn(grant -> grant.firstKey() < 32_768)
                .singleElement()
                .matches(grant -> grant.owner().equals(owner("k2")) && grant.fence() > proof.fence());
    }

    @Test
    void shouldSendNoReleaseUntilTheHoldsExpireWhenTheProofIsNotAnswered() {
        KeyAction.SendGrant proof = proofs(drainAfterAnUnprovenRenewal()).get(0);
        handle(new KeyEvent.CallUnanswered(proof.callId(), true));
        KeyMap moved = writtenMap(advance(50));
        assertThat(moved.assignments().get(0).lateGrantMillis()).isGreaterThan(proof.holdMillis());
        handle(new KeyEvent.MapWritten(moved, 32));

        List<KeyAction> meanwhile = advance(proof.holdMillis());

        assertThat(releases(meanwhile)).isEmpty();
        assertThat(grants(meanwhile)).noneMatch(grant -> grant.firstKey() < 32_768);
        List<KeyAction> later = advance(500);
        assertThat(proofs(later)).isEmpty();
        assertThat(releases(later)).hasSize(1);
    }

    @Test
    void shouldNotTakeACopiedAnswerAsProofThatAnOlderGrantCannotTakeEffect() {
        leadWithTwoOwners();
        List<KeyAction.SendGrant> renewals = grants(advance(1_100));
        renewals.forEach(renewal -> handle(new KeyEvent.CallUnanswered(renewal.callId(), true)));
        grants(advance(350)).forEach(grant -> handle(new KeyEvent.GrantAccepted(grant.callId(), false)));
        KeyMap moved = drainFirstOwner();

        List<KeyAction> actions = new ArrayList<>(handle(new KeyEvent.MapWritten(moved, 32)));
        actions.addAll(advance(500));

        assertThat(releases(actions)).isEmpty();
    }

    @Test
    void shouldReleaseARangeWithoutAFurtherGrantAfterAProvenAnswer() {
        leadWithTwoOwners();
        KeyMap moved = drainFirstOwner();

        List<KeyAction> actions = handle(new KeyEvent.MapWritten(moved, 32));

        assertThat(proofs(actions)).isEmpty();
        assertThat(releases(actions)).hasSize(1);
    }
}
