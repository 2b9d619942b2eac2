package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.daisyscale.router.internal.serving.NumberedConfigurations.configuration;
import static org.daisyscale.router.internal.serving.NumberedConfigurations.update;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.daisyscale.core.peer.PeerMessage.StoreProgress;
import org.daisyscale.core.platform.CoordinationStore.Listing;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.junit.jupiter.api.Test;

class OperatorWatchReportsTest {
    private final ScriptedStore store = new ScriptedStore();
    private final List<String> lines = new ArrayList<>();
    private final List<UpdateResult> results = new ArrayList<>();
    private final Ring<ControllerUpdate> updates = new ArrayRing<>("updates", 4);
    private final ConfirmedWatchGuard guard =
            new ConfirmedWatchGuard("op/", progress -> {}, () -> false, nanos -> {}, System::nanoTime);
    private final OperatorWatchDuty duty = new OperatorWatchDuty(
            store,
            "op/",
            guard,
            0,
            updates,
            new OperatorState(new NumberedConfigurations(), event -> {}, new Readiness()),
            published -> {},
            new WatchReports((event, detail) -> lines.add(event + " " + detail), results::add));

    private void readVersionOne() throws InterruptedException {
        store.enqueueListing(new Listing(List.of(configuration(1, 5)), 6));
        duty.runStep();
    }

    private List<String> linesOf(String event) {
        return lines.stream().filter(line -> line.startsWith(event + " ")).toList();
    }

    /** Returns the sources of the view and the reasons for them in the order of the lines. */
    private List<String> sources() {
        return linesOf("view-source-changed").stream()
                .map(line -> line.replaceAll(".* source=(\\S+) reason=(\\S+) .*", "$1 $2"))
                .toList();
    }

    @Test
    void shouldReportThatTheControllerIsFollowedAndThatItFellSilent() throws InterruptedException {
        readVersionOne();
        guard.confirm(new StoreProgress("op/", 5));
        duty.runStep();
        Thread.sleep(ConfirmedWatchGuard.CONFIRMATION_TIMEOUT_MILLIS);

        duty.runStep();
        duty.runStep();
        duty.runStep();

        assertThat(sources())
                .containsExactly(
                        "store not-listed",
                        "controller controller-confirms",
                        "store controller-silent",
                        "store store-failed");
    }

    @Test
    void shouldReportThatTheControllerHasReadFurther() throws InterruptedException {
        readVersionOne();
        guard.confirm(new StoreProgress("op/", 9));
        duty.runStep();
        Thread.sleep(ConfirmedWatchGuard.MAX_LAG_MILLIS + 10);
        store.enqueueListing(new Listing(List.of(configuration(3, 9)), 9));

        duty.runStep();
        duty.runStep();
        duty.runStep();

        assertThat(sources())
                .containsExactly(
                        "store not-listed",
                        "controller controller-confirms",
                        "store controller-ahead",
                        "controller controller-confirms");
    }

    /** Guards against a router that drops each update of a new controller while its log says nothing. */
    @Test
    void shouldReportAnUpdateThatDoesNotApplyOnceForTheVersionThatIsHeld() throws InterruptedException {
        readVersionOne();
        guard.confirm(new StoreProgress("op/", 9));
        updates.put(update(9, 2, 3, Set.of()));
        updates.put(update(10, 3, 4, Set.of()));
        updates.put(update(11, 4, 5, Set.of()));

        duty.runStep();
        duty.runStep();
        duty.runStep();

        assertThat(linesOf("configuration-update-skipped"))
                .containsExactly("configuration-update-skipped heldVersion=1 heldRevision=6 fromVersions=2,3"
                        + " toVersion=3 revision=9 controller=r7 reason=does-not-apply skippedBefore=0");
    }

    @Test
    void shouldCountTheUpdatesThatDidNotApplyOnceTheConfigurationIsReadAgain() throws InterruptedException {
        readVersionOne();
        updates.put(update(9, 2, 3, Set.of()));
        updates.put(update(10, 3, 4, Set.of()));
        guard.confirm(new StoreProgress("op/", 10));
        duty.runStep();
        duty.runStep();
        Thread.sleep(ConfirmedWatchGuard.MAX_LAG_MILLIS + 10);
        store.enqueueListing(new Listing(List.of(configuration(4, 10)), 11));

        duty.runStep();
        duty.runStep();

        assertThat(linesOf("configuration-caught-up"))
                .containsExactly("configuration-caught-up version=4 revision=11 skippedBefore=1");
    }

    @Test
    void shouldReportAnUpdateThatIsOlderThanWhatWasRead() throws InterruptedException {
        store.enqueueListing(new Listing(List.of(configuration(3, 9)), 12));
        updates.put(update(8, 2, 3, Set.of()));

        duty.runStep();

        assertThat(linesOf("configuration-update-skipped"))
                .singleElement()
                .asString()
                .contains("heldVersion=3 heldRevision=12 ", " revision=8 ", " reason=older ");
    }

    @Test
    void shouldReportAnUpdateThatArrivesBeforeAnyConfigurationIsKnown() throws InterruptedException {
        updates.put(update(8, 2, 3, Set.of()));

        duty.runStep();

        assertThat(linesOf("configuration-update-skipped"))
                .singleElement()
                .asString()
                .contains("heldVersion=0 ", " reason=no-configuration ");
    }

    @Test
    void shouldSayWhatBecameOfEachUpdateOfTheController() throws InterruptedException {
        readVersionOne();
        guard.confirm(new StoreProgress("op/", 9));
        updates.put(update(5, 1, 2, Set.of()));
        updates.put(update(8, 2, 3, Set.of()));
        updates.put(update(9, 1, 2, Set.of()));

        duty.runStep();
        duty.runStep();
        duty.runStep();

        assertThat(results).containsExactly(UpdateResult.OLDER, UpdateResult.DOES_NOT_APPLY, UpdateResult.APPLIED);
    }

    @Test
    void shouldWriteNoLineAboutAnUpdateThatApplies() throws InterruptedException {
        readVersionOne();
        guard.confirm(new StoreProgress("op/", 9));
        updates.put(update(9, 1, 2, Set.of()));

        duty.runStep();

        assertThat(linesOf("configuration-update-skipped")).isEmpty();
    }
}
