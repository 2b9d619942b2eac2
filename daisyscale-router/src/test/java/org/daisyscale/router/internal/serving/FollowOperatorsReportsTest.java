package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.daisyscale.router.internal.serving.NumberedConfigurations.configuration;
import static org.daisyscale.router.internal.serving.NumberedConfigurations.update;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.daisyscale.core.following.UpdateResult;
import org.daisyscale.core.following.ViewFollower;
import org.daisyscale.core.platform.CoordinationStore.Listing;
import org.daisyscale.router.internal.following.FollowDuty;
import org.daisyscale.router.internal.following.FollowEvent;
import org.daisyscale.router.internal.following.FollowReports;
import org.daisyscale.router.internal.ring.Ring;
import org.junit.jupiter.api.Test;

class FollowOperatorsReportsTest {
    private final AtomicLong clockNanos = new AtomicLong(5);
    private final ScriptedStore store = new ScriptedStore();
    private final List<String> lines = new ArrayList<>();
    private final List<UpdateResult> results = new ArrayList<>();
    private final Ring<FollowEvent> inbox = PeriodicRing.ofOffered(clockNanos);
    private final ControllerView controller = ControllerView.ofOperators();
    private final FollowDuty duty = new FollowDuty(
            "op/",
            new OperatorState(new NumberedConfigurations(), event -> {}, new Readiness()),
            new ViewFollower(new SplittableRandom(1), 0, true, clockNanos.get()),
            inbox,
            new InlineStoreReader(store, "op/", inbox),
            new RecordingPeers(),
            new FollowReports((event, detail) -> lines.add(event + " " + detail), results::add, nanos -> {}),
            clockNanos::get);

    private void readVersionOneAndHearTheController() throws InterruptedException {
        store.enqueueListing(new Listing(List.of(configuration(1, 5)), 6));
        inbox.offer(controller.list(6, configuration(1, 5)).report());
        duty.runStep();
    }

    private void runStepsFor(long millis) throws InterruptedException {
        long endNanos = clockNanos.get() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (clockNanos.get() - endNanos < 0) {
            duty.runStep();
        }
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
        readVersionOneAndHearTheController();

        runStepsFor(2 * ViewFollower.TOLD_OVERDUE_MILLIS);

        assertThat(sources())
                .containsExactly(
                        "store not-listed",
                        "controller controller-confirms",
                        "store controller-silent",
                        "store store-failed");
    }

    @Test
    void shouldReportThatTheControllerHasReadFurther() throws InterruptedException {
        readVersionOneAndHearTheController();
        store.enqueueListing(new Listing(List.of(configuration(3, 9)), 9));
        runStepsFor(ViewFollower.TOLD_OVERDUE_MILLIS / 2);
        controller.list(9, configuration(3, 9));

        for (int second = 0; second < 3; second++) {
            inbox.offer(controller.report());
            runStepsFor(ViewFollower.TOLD_OVERDUE_MILLIS / 2);
        }

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
        readVersionOneAndHearTheController();
        inbox.offer(update(9, 2, 3, Set.of()));
        inbox.offer(update(10, 3, 4, Set.of()));
        inbox.offer(update(11, 4, 5, Set.of()));

        duty.runStep();
        duty.runStep();
        duty.runStep();

        assertThat(linesOf("view-update-skipped"))
                .containsExactly("view-update-skipped prefix=op/ version=1 revision=6 evacuated=0 toRevision=9"
                        + " isWhole=false controller=r7 reason=does-not-apply skippedBefore=0");
    }

    @Test
    void shouldCountTheUpdatesThatDidNotApplyOnceTheConfigurationIsReadAgain() throws InterruptedException {
        readVersionOneAndHearTheController();
        inbox.offer(update(9, 2, 3, Set.of()));
        inbox.offer(update(10, 3, 4, Set.of()));
        inbox.offer(controller.list(10, configuration(4, 10)).report());
        duty.runStep();
        store.enqueueListing(new Listing(List.of(configuration(4, 10)), 11));

        runStepsFor(ViewFollower.TOLD_OVERDUE_MILLIS + ViewFollower.READ_SPREAD_MILLIS);

        assertThat(linesOf("view-caught-up"))
                .containsExactly("view-caught-up prefix=op/ version=4 revision=11 evacuated=0 skippedBefore=1");
    }

    @Test
    void shouldReportAnUpdateThatIsOlderThanWhatWasRead() throws InterruptedException {
        store.enqueueListing(new Listing(List.of(configuration(3, 9)), 12));
        duty.runStep();
        inbox.offer(update(8, 2, 3, Set.of()));

        duty.runStep();

        assertThat(linesOf("view-update-skipped"))
                .singleElement()
                .asString()
                .contains(" version=3 revision=12 ", " toRevision=8 ", " reason=older ");
    }

    @Test
    void shouldReportAnUpdateThatArrivesBeforeAnyConfigurationIsKnown() throws InterruptedException {
        inbox.offer(update(8, 2, 3, Set.of()));

        duty.runStep();

        assertThat(linesOf("view-update-skipped"))
                .singleElement()
                .asString()
                .contains(" version=0 ", " reason=no-configuration ");
    }

    @Test
    void shouldSayWhatBecameOfEachUpdateOfTheController() throws InterruptedException {
        readVersionOneAndHearTheController();
        inbox.offer(update(5, 1, 2, Set.of()));
        inbox.offer(update(8, 2, 3, Set.of()));
        inbox.offer(update(9, 1, 2, Set.of()));

        duty.runStep();
        duty.runStep();
        duty.runStep();

        assertThat(results).containsExactly(UpdateResult.OLDER, UpdateResult.DOES_NOT_APPLY, UpdateResult.APPLIED);
    }

    @Test
    void shouldWriteNoLineAboutAnUpdateThatApplies() throws InterruptedException {
        readVersionOneAndHearTheController();
        inbox.offer(update(9, 1, 2, Set.of()));

        duty.runStep();

        assertThat(linesOf("view-update-skipped")).isEmpty();
    }
}
