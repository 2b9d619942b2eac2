package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.daisyscale.core.keys.KeyEvent;
import org.daisyscale.core.platform.CoordinationStore.Change;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.router.internal.json.Json;
import org.junit.jupiter.api.Test;

/** The leases of a router whose store is restored from an older copy. */
class LeaseDutyRestoreTest {
    private final LeasedStore store = new LeasedStore();
    private final List<KeyEvent> keyEvents = new ArrayList<>();
    private final AtomicLong epochMillis = new AtomicLong();
    private final AtomicLong nowNanos = new AtomicLong();
    private final LeaseDuty duty = new LeaseDuty(
            store,
            entry("r1", 0),
            event -> {},
            keyEvents::add,
            new SuspensionDetector(epochMillis::get, () -> 0),
            nowNanos::get);

    private static RouterEntry entry(String routerId, long era) {
        return new RouterEntry(routerId, "10.0.0.1", 7_620, 99, 0.3, era);
    }

    private void step() throws InterruptedException {
        duty.runStep();
    }

    private void advance(long millis) {
        nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    private void takeControl() throws InterruptedException {
        duty.recordStoreState(false, false);
        step();
        assertThat(controllerInStore()).isEqualTo("r1");
        keyEvents.clear();
    }

    private void restore(long era) {
        store.loseLeases(era);
        duty.recordEra(era);
    }

    private String controllerInStore() {
        return store.get(StoreKeys.CONTROLLER).map(this::routerId).orElse("");
    }

    private String routerId(Item item) {
        return Json.read(item.value(), RouterEntry.class).routerId();
    }

    private void putController(String routerId, long era) {
        store.write(new Change(StoreKeys.CONTROLLER, 0, Json.write(entry(routerId, era)), 0));
    }

    @Test
    void shouldLoseTheControlAtOnceAndClaimItWhileItsLeaseWouldBeValid() throws InterruptedException {
        takeControl();
        advance(500);

        restore(1);
        assertThat(keyEvents).containsExactly(new KeyEvent.StoreRestored(1, true));
        step();

        assertThat(controllerInStore()).isEqualTo("r1");
        assertThat(keyEvents).contains(new KeyEvent.EraKnown(1)).last().isInstanceOf(KeyEvent.LeaseRenewed.class);
    }

    /** Guards against a lease whose id was assigned again and that another router keeps alive. */
    @Test
    void shouldNotReportARenewalDuringWhichTheStoreWasRestored() throws InterruptedException {
        takeControl();
        store.onRenewal(() -> duty.recordEra(1));

        step();

        assertThat(keyEvents).noneMatch(KeyEvent.LeaseRenewed.class::isInstance);
    }

    /** Another router may have had the control meanwhile, and act until its lease ends by its own clock. */
    @Test
    void shouldWaitForTheEndOfAnyLeaseBeforeItClaimsTheControlWithoutAValidOne() throws InterruptedException {
        takeControl();
        advance(1_400);

        restore(1);
        step();
        advance(1_740);
        step();
        assertThat(controllerInStore()).isEmpty();
        advance(10);
        step();

        assertThat(controllerInStore()).isEqualTo("r1");
    }

    @Test
    void shouldLeaveTheClaimToTheFormerControllerAtFirst() throws InterruptedException {
        duty.recordStoreState(true, false);
        step();

        restore(1);
        duty.recordStoreState(false, false);
        advance(2_200);
        step();
        assertThat(controllerInStore()).isEmpty();
        advance(600);
        step();

        assertThat(controllerInStore()).isEqualTo("r1");
    }

    @Test
    void shouldNotClaimTheControlThatAnotherRouterHasInTheNewEra() throws InterruptedException {
        takeControl();
        restore(1);
        putController("r2", 1);

        step();

        assertThat(controllerInStore()).isEqualTo("r2");
        assertThat(keyEvents).noneMatch(KeyEvent.LeaseRenewed.class::isInstance);
    }

    /** The copy may contain a controller without its lease, which would stay forever. */
    @Test
    void shouldReplaceAControllerOfAnOlderEra() throws InterruptedException {
        takeControl();
        restore(1);
        putController("r2", 0);
        duty.recordController(entry("r2", 0));
        duty.recordStoreState(true, false);

        step();

        assertThat(controllerInStore()).isEqualTo("r1");
    }

    @Test
    void shouldNotTrustTheLeaseOfATimeInWhichTheVmWasSuspended() throws InterruptedException {
        takeControl();
        epochMillis.addAndGet(5_000);

        restore(1);
        step();

        assertThat(keyEvents).containsExactly(new KeyEvent.StoreRestored(1, false));
        assertThat(controllerInStore()).isEmpty();
    }

    @Test
    void shouldRegisterAgainWithinASecondAndNameTheEra() throws InterruptedException {
        takeControl();
        restore(1);
        assertThat(store.get(StoreKeys.router("r1"))).isEmpty();

        for (int count = 0; count < 5; count++) {
            step();
        }

        Item registered = store.get(StoreKeys.router("r1")).orElseThrow();
        assertThat(Json.read(registered.value(), RouterEntry.class).era()).isEqualTo(1);
    }

    @Test
    void shouldWriteTheKnownSecretAgainAndNotANewOne() throws InterruptedException {
        duty.recordSecret("known");
        takeControl();
        restore(1);

        step();
        step();

        byte[] secret = store.get(StoreKeys.PEER_SECRET).orElseThrow().value();
        assertThat(Json.read(secret, String.class)).isEqualTo("known");
    }

    @Test
    void shouldNotNameAnEraInAStoreWithoutEras() throws InterruptedException {
        takeControl();

        byte[] written = store.get(StoreKeys.CONTROLLER).orElseThrow().value();

        assertThat(new String(written, StandardCharsets.UTF_8)).doesNotContain("era");
    }
}
