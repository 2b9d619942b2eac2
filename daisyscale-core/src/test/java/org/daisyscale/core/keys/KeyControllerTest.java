package org.daisyscale.core.keys;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;
import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.core.serving.RequestLimits;
import org.daisyscale.core.serving.RoutingTable;
import org.daisyscale.core.serving.ServiceRules;
import org.daisyscale.core.serving.ServingEvent;
import org.junit.jupiter.api.Test;

class KeyControllerTest {
    private static final long MILLI = 1_000_000L;
    private static final long HOLD_MAX_MILLIS = 10_000;

    private final KeyController controller = KeyController.create(new KeySettings(HOLD_MAX_MILLIS));
    private long nowNanos = 1;

    private List<KeyAction> tell(KeyEvent event) {
        return controller.handle(event, nowNanos);
    }

    private List<KeyAction> pass(long millis) {
        List<KeyAction> actions = new ArrayList<>();
        for (long passed = 0; passed < millis; passed += 50) {
            nowNanos += 50 * MILLI;
            actions.addAll(tell(new KeyEvent.TimePassed()));
        }
        return actions;
    }

    private List<KeyAction> know(ServingEvent change) {
        return tell(new KeyEvent.FleetChanged(change));
    }

    private static BackendServer server(String id, long born, boolean isDraining) {
        return new BackendServer(id, born, "stock", "10.0.0.1", 80, "dc1", 3, isDraining, 0);
    }

    private static Owner owner(String id) {
        return Owner.of(server(id, 1, false));
    }

    private void lead(long forMillis) {
        tell(new KeyEvent.LeaseRenewed(nowNanos + forMillis * MILLI));
    }

    private void knowService(String... serverIds) {
        ServiceRules rules = new ServiceRules("stock", 120, 3_000, 7, true, 5_000);
        know(new ServingEvent.TableChanged(
                new RoutingTable(1, List.of(), Map.of("stock", rules), new RequestLimits(1, 1, 1, 1))));
        for (String id : serverIds) {
            know(new ServingEvent.ServerChanged(server(id, 1, false)));
        }
    }

    /** The controller leads and {@code k1} and {@code k2} hold half of the keys each, granted just now. */
    private KeyMap leadWithTwoOwners() {
        knowService("k1", "k2");
        lead(60_000);
        KeyAssignment first = new KeyAssignment(0, 32_767, owner("k1"), 3, true, List.of());
        KeyAssignment second = new KeyAssignment(32_768, KeyMap.KEY_COUNT - 1, owner("k2"), 4, true, List.of());
        KeyMap map = new KeyMap("stock", 3, 0, 5, List.of(first, second));
        List<KeyAction> actions = tell(new KeyEvent.MapRead(map, 30));
        assertThat(grants(actions)).isEmpty();
        KeyMap withFences = of(KeyAction.WriteMap.class, actions).get(0).map();
        actions = new ArrayList<>(tell(new KeyEvent.MapWritten(withFences, 31)));
        actions.addAll(pass(50));
        grants(actions).forEach(grant -> tell(new KeyEvent.GrantTaken(grant.callId())));
        return withFences;
    }

    private static List<KeyAction.SendGrant> grants(List<KeyAction> actions) {
        return of(KeyAction.SendGrant.class, actions);
    }

    private static <T> List<T> of(Class<T> kind, List<KeyAction> actions) {
        return actions.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    private KeyMap drainOwner() {
        List<KeyAction> actions = new ArrayList<>(know(new ServingEvent.ServerChanged(server("k1", 1, true))));
        actions.addAll(pass(50));
        List<KeyAction.WriteMap> writes = of(KeyAction.WriteMap.class, actions);
        assertThat(writes).hasSize(1);
        assertThat(grants(actions)).noneMatch(grant -> grant.firstKey() < 32_768);
        return writes.get(0).map();
    }

    @Test
    void shouldWriteAFirstMapOverAllServersBeforeItGrantsAnything() {
        knowService("k1", "k2", "k3");
        lead(60_000);

        List<KeyAction> actions = new ArrayList<>(tell(new KeyEvent.MapAbsent("stock")));
        actions.addAll(pass(50));

        assertThat(grants(actions)).isEmpty();
        KeyMap map = of(KeyAction.WriteMap.class, actions).get(0).map();
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
        KeyMap moved = drainOwner();

        List<KeyAction> afterWrite = tell(new KeyEvent.MapWritten(moved, 32));
        List<KeyAction.SendRelease> releases = of(KeyAction.SendRelease.class, afterWrite);

        assertThat(releases).isNotEmpty().allMatch(release -> release.owner().equals(owner("k1")));
        assertThat(grants(afterWrite)).noneMatch(grant -> grant.firstKey() < 32_768);
        List<KeyAction> afterRelease =
                tell(new KeyEvent.Released(releases.get(0).callId(), "token"));
        assertThat(grants(afterRelease))
                .filteredOn(grant -> grant.firstKey() < 32_768)
                .singleElement()
                .matches(grant ->
                        grant.owner().equals(owner("k2")) && grant.handover().equals("token"));
    }

    @Test
    void shouldUseAHigherFenceForEachMove() {
        KeyMap before = leadWithTwoOwners();

        KeyMap moved = drainOwner();

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
    void shouldWaitOutTheHoldOfAPredecessorThatDoesNotAnswer() {
        leadWithTwoOwners();
        long grantedNanos = nowNanos;
        KeyMap moved = drainOwner();
        List<KeyAction> actions = new ArrayList<>(tell(new KeyEvent.MapWritten(moved, 32)));

        long grantNanos = 0;
        while (grantNanos == 0 && nowNanos - grantedNanos < 30_000 * MILLI) {
            of(KeyAction.SendRelease.class, actions)
                    .forEach(release -> tell(new KeyEvent.CallUnanswered(release.callId(), true)));
            actions = pass(50);
            boolean isMovedGranted = grants(actions).stream().anyMatch(grant -> grant.firstKey() < 32_768);
            grantNanos = isMovedGranted ? nowNanos : 0;
        }

        assertThat(grantNanos - grantedNanos).isGreaterThan((long) (2_400 * 1.02) * MILLI);
    }

    @Test
    void shouldNotWaitForAnIncarnationThatWasReplacedElsewhere() {
        leadWithTwoOwners();
        BackendServer elsewhere = new BackendServer("k1", 2, "stock", "10.0.0.9", 80, "dc1", 3, false, 0);
        List<KeyAction> changed = know(new ServingEvent.ServerChanged(elsewhere));
        KeyMap moved = of(KeyAction.WriteMap.class, changed).get(0).map();

        List<KeyAction> actions = tell(new KeyEvent.MapWritten(moved, 32));

        assertThat(grants(actions)).anyMatch(grant -> grant.firstKey() < 32_768);
    }

    @Test
    void shouldAskAnIncarnationAtTheSameAddressToReleaseWhatWasGrantedToTheOneBefore() {
        leadWithTwoOwners();
        List<KeyAction> changed = know(new ServingEvent.ServerChanged(server("k1", 2, false)));
        KeyMap moved = of(KeyAction.WriteMap.class, changed).get(0).map();

        List<KeyAction> actions = tell(new KeyEvent.MapWritten(moved, 32));

        assertThat(grants(actions)).noneMatch(grant -> grant.firstKey() < 32_768);
        List<KeyAction.SendRelease> releases = of(KeyAction.SendRelease.class, actions);
        assertThat(releases).isNotEmpty().allMatch(release -> release.owner().equals(owner("k1")));
        List<KeyAction> afterRelease =
                tell(new KeyEvent.Released(releases.get(0).callId(), ""));
        assertThat(grants(afterRelease)).anyMatch(grant -> grant.firstKey() < 32_768);
    }

    @Test
    void shouldRenewUnderTheFenceThatTheServerTook() {
        leadWithTwoOwners();

        List<KeyAction.SendGrant> renewals = grants(pass(700));

        assertThat(renewals).hasSize(2).allMatch(KeyAction.SendGrant::isRenewal);
    }

    @Test
    void shouldGrantUnderANewFenceWhenAnotherProcessMayHaveTheAddress() {
        leadWithTwoOwners();
        KeyAction.SendGrant renewal = grants(pass(700)).get(0);

        List<KeyAction> actions = new ArrayList<>(tell(new KeyEvent.ServerUnproved(renewal.callId())));
        actions.addAll(pass(50));

        assertThat(grants(actions))
                .filteredOn(grant -> grant.firstKey() == renewal.firstKey())
                .singleElement()
                .matches(grant -> !grant.isRenewal() && grant.fence() > renewal.fence());
    }

    @Test
    void shouldGrantUnderANewFenceAfterAGrantWithoutAnswer() {
        leadWithTwoOwners();
        KeyAction.SendGrant renewal = grants(pass(700)).get(0);
        tell(new KeyEvent.CallUnanswered(renewal.callId(), true));

        List<KeyAction> actions = pass(400);

        assertThat(grants(actions))
                .filteredOn(grant -> grant.firstKey() == renewal.firstKey())
                .first()
                .matches(grant -> !grant.isRenewal() && grant.fence() > renewal.fence());
    }

    @Test
    void shouldGrantNothingAboveAnotherControllersFencesBeforeItsOwnAreWritten() {
        KeyMap before = leadWithTwoOwners();
        tell(new KeyEvent.LeaseLost());
        lead(60_000);

        List<KeyAction> actions = new ArrayList<>(tell(new KeyEvent.MapRead(before, 33)));

        assertThat(grants(actions)).isEmpty();
        KeyMap map = of(KeyAction.WriteMap.class, actions).get(0).map();
        List<KeyAction> afterWrite = tell(new KeyEvent.MapWritten(map, 34));
        assertThat(grants(afterWrite)).hasSize(2).allMatch(grant -> grant.fence() >= before.nextFence());
    }

    @Test
    void shouldDoNothingOnceItsLeaseHasEnded() {
        knowService("k1", "k2");
        lead(200);
        KeyAssignment all = new KeyAssignment(0, KeyMap.KEY_COUNT - 1, owner("k1"), 4, true, List.of());
        pass(250);

        List<KeyAction> actions =
                new ArrayList<>(tell(new KeyEvent.MapRead(new KeyMap("stock", 3, 0, 5, List.of(all)), 30)));
        actions.addAll(pass(2_000));

        assertThat(actions).isEmpty();
    }

    @Test
    void shouldGoOnWithTheGrantsThatItGaveWhenItHearsLateThatItsLeaseWasRenewed() {
        leadWithTwoOwners();
        lead(100);
        pass(1_000);
        assertThat(pass(100)).isEmpty();

        List<KeyAction> actions = new ArrayList<>(tell(new KeyEvent.LeaseRenewed(nowNanos + 60_000 * MILLI)));
        actions.addAll(pass(100));

        assertThat(of(KeyAction.ReadMap.class, actions)).isEmpty();
        assertThat(grants(actions)).hasSize(2).allMatch(KeyAction.SendGrant::isRenewal);
    }

    @Test
    void shouldReadTheMapAgainWhenItTakesALeaseThatItHadLost() {
        leadWithTwoOwners();
        tell(new KeyEvent.LeaseLost());

        assertThat(tell(new KeyEvent.LeaseRenewed(nowNanos + 60_000 * MILLI))).contains(new KeyAction.ReadMap("stock"));
    }

    @Test
    void shouldGiveTheLongestHoldsWhileItsLeaseIsInDoubt() {
        leadWithTwoOwners();

        List<KeyAction> actions = new ArrayList<>(tell(new KeyEvent.LeaseInDoubt()));
        actions.addAll(pass(50));

        assertThat(grants(actions)).isNotEmpty().allMatch(grant -> grant.holdMillis() == HOLD_MAX_MILLIS);
    }

    @Test
    void shouldGiveTheLongestHoldsWhileAWriteHasNoKnownEnd() {
        leadWithTwoOwners();
        drainOwner();

        List<KeyAction> actions = new ArrayList<>(tell(new KeyEvent.MapWriteFailed("stock")));
        actions.addAll(tell(new KeyEvent.LeaseInDoubt()));
        actions.addAll(pass(50));

        assertThat(grants(actions))
                .filteredOn(grant -> grant.firstKey() == 32_768)
                .isNotEmpty()
                .allMatch(grant -> grant.holdMillis() == HOLD_MAX_MILLIS);
    }

    @Test
    void shouldReadTheMapOfAServiceWhoseLoadItHeardOfBefore() {
        lead(60_000);
        tell(new KeyEvent.LoadReported(new KeyLoad("stock", List.of(7), Map.of())));
        ServiceRules rules = new ServiceRules("stock", 120, 3_000, 7, true, 5_000);

        List<KeyAction> actions = know(new ServingEvent.TableChanged(
                new RoutingTable(1, List.of(), Map.of("stock", rules), new RequestLimits(1, 1, 1, 1))));

        assertThat(actions).contains(new KeyAction.ReadMap("stock"));
    }

    @Test
    void shouldTellOfTakenGrantsBeforeTheStoreHasThem() {
        leadWithTwoOwners();
        KeyMap moved = drainOwner();
        List<KeyAction> actions = tell(new KeyEvent.MapWritten(moved, 32));
        long releaseId = of(KeyAction.SendRelease.class, actions).get(0).callId();
        long grantId = grants(tell(new KeyEvent.Released(releaseId, ""))).stream()
                .filter(grant -> grant.firstKey() < 32_768)
                .findFirst()
                .orElseThrow()
                .callId();

        List<KeyAction> afterGrant = tell(new KeyEvent.GrantTaken(grantId));

        assertThat(of(KeyAction.PublishMap.class, afterGrant))
                .singleElement()
                .matches(publish -> publish.map().isNewerThan(moved)
                        && publish.map().assignments().get(0).isSettled());
    }

    @Test
    void shouldWriteTheEndOfAMoveTogetherWithWhatFollows() {
        leadWithTwoOwners();
        KeyMap moved = drainOwner();
        List<KeyAction> actions = tell(new KeyEvent.MapWritten(moved, 32));
        List<KeyAction> inTime = new ArrayList<>();
        of(KeyAction.SendRelease.class, actions)
                .forEach(release -> grants(tell(new KeyEvent.Released(release.callId(), "")))
                        .forEach(grant -> inTime.addAll(tell(new KeyEvent.GrantTaken(grant.callId())))));

        List<KeyAction> later = pass(300);

        assertThat(of(KeyAction.WriteMap.class, inTime)).isEmpty();
        assertThat(of(KeyAction.WriteMap.class, later))
                .singleElement()
                .matches(write -> write.map().assignments().size() == 1, "the move's end and the merge after it");
    }
}
