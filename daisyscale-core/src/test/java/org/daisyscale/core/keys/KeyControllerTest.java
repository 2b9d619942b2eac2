package org.daisyscale.core.keys;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.core.serving.RequestLimits;
import org.daisyscale.core.serving.RoutingTable;
import org.daisyscale.core.serving.ServiceRules;
import org.daisyscale.core.serving.ServingEvent;
import org.junit.jupiter.api.Test;

class KeyControllerTest extends KeyControllerScenario {
    @Test
    void shouldWriteAnInitialMapOverAllServersBeforeItGrantsAnything() {
        registerService("k1", "k2", "k3");
        renewLease(60_000);

        List<KeyAction> actions = new ArrayList<>(handle(new KeyEvent.MapAbsent("stock")));
        actions.addAll(advance(50));

        assertThat(grants(actions)).isEmpty();
        KeyMap map = actionsOf(KeyAction.WriteMap.class, actions).get(0).map();
        assertThat(map.assignments())
                .extracting(KeyAssignment::owner)
                .doesNotHaveDuplicates()
                .hasSize(3);
        assertThat(map.assignments().stream().mapToInt(KeyAssignment::keyCount).sum())
                .isEqualTo(KeyMap.KEY_COUNT);
    }

    @Test
    void shouldGrantAMovedRangeOnlyAfterItsPredecessorReleasedIt() {
        leadWithTwoOwners();
        KeyMap moved = drainFirstOwner();

        List<KeyAction> afterWrite = handle(new KeyEvent.MapWritten(moved, 32));
        List<KeyAction.SendRelease> releases = actionsOf(KeyAction.SendRelease.class, afterWrite);

        assertThat(releases).isNotEmpty().allMatch(release -> release.owner().equals(owner("k1")));
        assertThat(grants(afterWrite)).noneMatch(grant -> grant.firstKey() < 32_768);
        List<KeyAction> afterRelease =
                handle(new KeyEvent.Released(releases.get(0).callId(), "token"));
        assertThat(grants(afterRelease))
                .filteredOn(grant -> grant.firstKey() < 32_768)
                .singleElement()
                .matches(grant ->
                        grant.owner().equals(owner("k2")) && grant.handover().equals("token"));
    }

    @Test
    void shouldUseAHigherFenceForEachMove() {
        KeyMap before = leadWithTwoOwners();

        KeyMap moved = drainFirstOwner();

        assertThat(moved.assignments())
                .filteredOn(assignment -> assignment.firstKey() < 32_768)
                .allMatch(assignment -> assignment.fence() >= before.nextFence());
        assertThat(moved.nextFence())
                .isGreaterThan(moved.assignments().stream()
                        .mapToLong(KeyAssignment::fence)
                        .max()
                        .orElseThrow());
    }

    @Test
    void shouldWaitUntilTheHoldOfAnUnresponsivePredecessorExpires() {
        leadWithTwoOwners();
        long grantedNanos = nowNanos();
        KeyMap moved = drainFirstOwner();
        List<KeyAction> actions = new ArrayList<>(handle(new KeyEvent.MapWritten(moved, 32)));

        long grantNanos = 0;
        while (grantNanos == 0 && nowNanos() - grantedNanos < 30_000 * MILLI) {
            actionsOf(KeyAction.SendRelease.class, actions)
                    .forEach(release -> handle(new KeyEvent.CallUnanswered(release.callId(), true)));
            actions = advance(50);
            boolean isMovedGranted = grants(actions).stream().anyMatch(grant -> grant.firstKey() < 32_768);
            grantNanos = isMovedGranted ? nowNanos() : 0;
        }

        assertThat(grantNanos - grantedNanos).isGreaterThan((long) (2_400 * 1.02) * MILLI);
    }

    @Test
    void shouldNotWaitForAnIncarnationThatWasReplacedAtAnotherAddress() {
        leadWithTwoOwners();
        BackendServer elsewhere = new BackendServer("k1", 2, "stock", "10.0.0.9", 80, "dc1", 3, false, 0);
        List<KeyAction> changed = changeFleet(new ServingEvent.ServerChanged(elsewhere));
        KeyMap moved = actionsOf(KeyAction.WriteMap.class, changed).get(0).map();

        List<KeyAction> actions = handle(new KeyEvent.MapWritten(moved, 32));

        assertThat(grants(actions)).anyMatch(grant -> grant.firstKey() < 32_768);
    }

    @Test
    void shouldAskAnIncarnationAtTheSameAddressToReleaseTheGrantsOfThePreviousOne() {
        leadWithTwoOwners();
        List<KeyAction> changed = changeFleet(new ServingEvent.ServerChanged(server("k1", 2, false)));
        KeyMap moved = actionsOf(KeyAction.WriteMap.class, changed).get(0).map();

        List<KeyAction> actions = handle(new KeyEvent.MapWritten(moved, 32));

        assertThat(grants(actions)).noneMatch(grant -> grant.firstKey() < 32_768);
        List<KeyAction.SendRelease> releases = actionsOf(KeyAction.SendRelease.class, actions);
        assertThat(releases).isNotEmpty().allMatch(release -> release.owner().equals(owner("k1")));
        List<KeyAction> afterRelease =
                handle(new KeyEvent.Released(releases.get(0).callId(), ""));
        assertThat(grants(afterRelease)).anyMatch(grant -> grant.firstKey() < 32_768);
    }

    @Test
    void shouldRenewUnderTheFenceThatTheServerAccepted() {
        leadWithTwoOwners();

        List<KeyAction.SendGrant> renewals = grants(advance(700));

        assertThat(renewals).hasSize(2).allMatch(KeyAction.SendGrant::isRenewal);
    }

    @Test
    void shouldGrantUnderANewFenceWhenAnotherProcessMayHaveTheAddress() {
        leadWithTwoOwners();
        KeyAction.SendGrant renewal = grants(advance(700)).get(0);

        List<KeyAction> actions = new ArrayList<>(handle(new KeyEvent.RenewalUnverified(renewal.callId())));
        actions.addAll(advance(50));

        assertThat(grants(actions))
                .filteredOn(grant -> grant.firstKey() == renewal.firstKey())
                .singleElement()
                .matches(grant -> !grant.isRenewal() && grant.fence() > renewal.fence());
    }

    @Test
    void shouldGrantUnderANewFenceAfterAnUnansweredGrant() {
        leadWithTwoOwners();
        KeyAction.SendGrant renewal = grants(advance(700)).get(0);
        handle(new KeyEvent.CallUnanswered(renewal.callId(), true));

        List<KeyAction> actions = advance(400);

        assertThat(grants(actions))
                .filteredOn(grant -> grant.firstKey() == renewal.firstKey())
                .first()
                .matches(grant -> !grant.isRenewal() && grant.fence() > renewal.fence());
    }

    @Test
    void shouldGrantNothingUntilItHasWrittenFencesAboveThoseOfAnotherController() {
        KeyMap before = leadWithTwoOwners();
        handle(new KeyEvent.LeaseLost());
        renewLease(60_000);

        List<KeyAction> actions = new ArrayList<>(handle(new KeyEvent.MapRead(before, 33)));

        assertThat(grants(actions)).isEmpty();
        KeyMap map = actionsOf(KeyAction.WriteMap.class, actions).get(0).map();
        List<KeyAction> afterWrite = handle(new KeyEvent.MapWritten(map, 34));
        assertThat(grants(afterWrite)).hasSize(2).allMatch(grant -> grant.fence() >= before.nextFence());
    }

    @Test
    void shouldDoNothingOnceItsLeaseHasExpired() {
        registerService("k1", "k2");
        renewLease(200);
        KeyAssignment all = new KeyAssignment(0, KeyMap.KEY_COUNT - 1, owner("k1"), 4, true, List.of());
        advance(250);

        List<KeyAction> actions =
                new ArrayList<>(handle(new KeyEvent.MapRead(new KeyMap("stock", 3, 0, 5, List.of(all)), 30)));
        actions.addAll(advance(2_000));

        assertThat(actions).isEmpty();
    }

    @Test
    void shouldRenewItsEarlierGrantsWhenTheLeaseRenewalArrivesLate() {
        leadWithTwoOwners();
        renewLease(100);
        advance(1_000);
        assertThat(advance(100)).isEmpty();

        List<KeyAction> actions = new ArrayList<>(handle(new KeyEvent.LeaseRenewed(nowNanos() + 60_000 * MILLI)));
        actions.addAll(advance(100));

        assertThat(actionsOf(KeyAction.ReadMap.class, actions)).isEmpty();
        assertThat(grants(actions)).hasSize(2).allMatch(KeyAction.SendGrant::isRenewal);
    }

    @Test
    void shouldStopControlAfterASuspensionUntilTheLeaseIsRenewed() {
        leadWithTwoOwners();
        handle(new KeyEvent.LeaseUncertain());
        assertThat(grants(advance(1_000))).isEmpty();

        List<KeyAction> actions = new ArrayList<>(handle(new KeyEvent.LeaseRenewed(nowNanos() + 60_000 * MILLI)));
        actions.addAll(advance(100));

        assertThat(grants(actions)).hasSize(2);
    }

    @Test
    void shouldReadTheMapAgainWhenItRegainsALostLease() {
        leadWithTwoOwners();
        handle(new KeyEvent.LeaseLost());

        assertThat(handle(new KeyEvent.LeaseRenewed(nowNanos() + 60_000 * MILLI)))
                .contains(new KeyAction.ReadMap("stock"));
    }

    @Test
    void shouldGrantTheLongestHoldWhileItsLeaseIsInDoubt() {
        leadWithTwoOwners();

        List<KeyAction> actions = new ArrayList<>(handle(new KeyEvent.LeaseInDoubt()));
        actions.addAll(advance(50));

        assertThat(grants(actions)).isNotEmpty().allMatch(grant -> grant.holdMillis() == HOLD_MAX_MILLIS);
    }

    @Test
    void shouldGrantTheLongestHoldWhileTheOutcomeOfAWriteIsUnknown() {
        leadWithTwoOwners();
        drainFirstOwner();

        List<KeyAction> actions = new ArrayList<>(handle(new KeyEvent.MapWriteFailed("stock")));
        actions.addAll(handle(new KeyEvent.LeaseInDoubt()));
        actions.addAll(advance(50));

        assertThat(grants(actions))
                .filteredOn(grant -> grant.firstKey() == 32_768)
                .isNotEmpty()
                .allMatch(grant -> grant.holdMillis() == HOLD_MAX_MILLIS);
    }

    @Test
    void shouldReadTheMapOfAServiceWhoseLoadWasReportedBeforeItsConfiguration() {
        renewLease(60_000);
        handle(new KeyEvent.LoadReported(new KeyLoad("stock", List.of(7), Map.of())));
        ServiceRules rules = new ServiceRules("stock", "/health", 120, 3_000, 7, true, 5_000);

        List<KeyAction> actions = changeFleet(new ServingEvent.TableChanged(
                new RoutingTable(1, List.of(), Map.of("stock", rules), new RequestLimits(1, 1, 1, 1))));

        assertThat(actions).contains(new KeyAction.ReadMap("stock"));
    }

    @Test
    void shouldPublishAcceptedGrantsBeforeTheyAreStored() {
        leadWithTwoOwners();
        KeyMap moved = drainFirstOwner();
        List<KeyAction> actions = handle(new KeyEvent.MapWritten(moved, 32));
        long releaseId = actionsOf(KeyAction.SendRelease.class, actions).get(0).callId();
        long grantId = grants(handle(new KeyEvent.Released(releaseId, ""))).stream()
                .filter(grant -> grant.firstKey() < 32_768)
                .findFirst()
                .orElseThrow()
                .callId();

        List<KeyAction> afterGrant = handle(new KeyEvent.GrantAccepted(grantId, true));

        assertThat(actionsOf(KeyAction.PublishMap.class, afterGrant))
                .singleElement()
                .matches(publish -> publish.map().isNewerThan(moved)
                        && publish.map().assignments().get(0).isSettled());
    }

    @Test
    void shouldWriteACompletedMoveTogetherWithTheNextChange() {
        leadWithTwoOwners();
        KeyMap moved = drainFirstOwner();
        List<KeyAction> actions = handle(new KeyEvent.MapWritten(moved, 32));
        List<KeyAction> beforeDelay = new ArrayList<>();
        actionsOf(KeyAction.SendRelease.class, actions)
                .forEach(release -> grants(handle(new KeyEvent.Released(release.callId(), "")))
                        .forEach(
                                grant -> beforeDelay.addAll(handle(new KeyEvent.GrantAccepted(grant.callId(), true)))));

        beforeDelay.addAll(advance(400));
        List<KeyAction> afterDelay = advance(100);

        assertThat(actionsOf(KeyAction.WriteMap.class, beforeDelay)).isEmpty();
        assertThat(actionsOf(KeyAction.WriteMap.class, afterDelay))
                .singleElement()
                .matches(
                        write -> write.map().assignments().size() == 1,
                        "the completed move and the merge that follows");
    }
}
