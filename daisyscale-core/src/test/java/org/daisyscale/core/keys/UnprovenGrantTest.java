package org.daisyscale.core.keys;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.daisyscale.core.serving.KeyMap;
import org.junit.jupiter.api.Test;

/** Accepted grants whose answers may be copies of earlier ones. */
class UnprovenGrantTest extends KeyControllerScenario {

    /** Has {@code k1} answer its renewal with what may be a copy, and stores the map that moves its keys. */
    private List<KeyAction> moveAfterAnUnprovenRenewal() {
        leadWithTwoOwners();
        grants(advance(1_100)).forEach(renewal -> handle(new KeyEvent.GrantAccepted(renewal.callId(), false)));
        KeyMap moved = drainFirstOwner();
        return handle(new KeyEvent.MapWritten(moved, 32));
    }

    private static List<KeyAction.SendGrant> proofs(List<KeyAction> actions) {
        return grants(actions).stream().filter(KeyAction.SendGrant::needsProof).toList();
    }

    private static List<KeyAction.SendRelease> releases(List<KeyAction> actions) {
        return actionsOf(KeyAction.SendRelease.class, actions);
    }

    @Test
    void shouldAskForAProofBeforeItReleasesARangeWhoseRenewalMayHaveACopiedAnswer() {
        List<KeyAction> actions = moveAfterAnUnprovenRenewal();

        assertThat(releases(actions)).isEmpty();
        assertThat(proofs(actions))
                .singleElement()
                .matches(proof -> proof.owner().equals(owner("k1")) && !proof.isRenewal());
    }

    @Test
    void shouldReleaseTheRangeAtOnceAndGrantItUnderAHigherFenceAfterTheProof() {
        KeyAction.SendGrant proof = proofs(moveAfterAnUnprovenRenewal()).get(0);

        List<KeyAction> afterProof = handle(new KeyEvent.GrantAccepted(proof.callId(), true));

        assertThat(releases(afterProof)).hasSize(1);
        List<KeyAction> afterRelease =
                handle(new KeyEvent.Released(releases(afterProof).get(0).callId(), ""));
        assertThat(grants(afterRelease))
                .filteredOn(grant -> grant.firstKey() < 32_768)
                .singleElement()
                .matches(grant -> grant.owner().equals(owner("k2")) && grant.fence() > proof.fence());
    }

    @Test
    void shouldSendNoReleaseUntilTheHoldsExpireWhenTheProofIsNotAnswered() {
        KeyAction.SendGrant proof = proofs(moveAfterAnUnprovenRenewal()).get(0);
        handle(new KeyEvent.CallUnanswered(proof.callId(), true));

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
