package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.daisyscale.core.following.ItemView;
import org.daisyscale.core.following.UpdateResult;
import org.daisyscale.core.following.ViewFollower;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.Listing;
import org.daisyscale.router.internal.following.FollowDuty;
import org.daisyscale.router.internal.following.FollowEvent;
import org.daisyscale.router.internal.following.FollowReports;
import org.daisyscale.router.internal.ring.Ring;
import org.junit.jupiter.api.Test;

class FollowServersReportsTest {
    private final AtomicLong clockNanos = new AtomicLong(5);
    private final ScriptedStore store = new ScriptedStore();
    private final List<String> lines = new ArrayList<>();
    private final List<UpdateResult> results = new ArrayList<>();
    private final Ring<FollowEvent> inbox = PeriodicRing.ofOffered(clockNanos);
    private final ControllerView controller = ControllerView.ofServers();
    private final FollowDuty duty = new FollowDuty(
            "servers/",
            new ItemView("servers/", new ControllerView.IgnoringListener()),
            new ViewFollower(new SplittableRandom(1), 0, false, clockNanos.get()),
            inbox,
            new InlineStoreReader(store, "servers/", inbox),
            new RecordingPeers(),
            new FollowReports((event, detail) -> lines.add(event + " " + detail), results::add, nanos -> {}),
            clockNanos::get);

    private static Item item(String key, long revision) {
        return new Item(key, new byte[0], revision);
    }

    private void listOneServerAndHearTheController() throws InterruptedException {
        store.enqueueListing(new Listing(List.of(item("servers/a", 4)), 5));
        inbox.offer(controller.list(5, item("servers/a", 4)).report());
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

    @Test
    void shouldReportAChangeThatDoesNotApplyOnceForWhatIsHeld() throws InterruptedException {
        listOneServerAndHearTheController();
        controller.list(9, item("servers/b", 9), item("servers/c", 7));
        inbox.offer(controller.updateFrom(8));
        inbox.offer(
                controller.list(10, item("servers/b", 10), item("servers/c", 7)).report());
        inbox.offer(controller.updateFrom(10));
        duty.runStep();
        store.enqueueListing(new Listing(List.of(item("servers/b", 10)), 11));

        runStepsFor(ViewFollower.TOLD_OVERDUE_MILLIS + ViewFollower.READ_SPREAD_MILLIS);

        assertThat(linesOf("view-update-skipped"))
                .containsExactly("view-update-skipped prefix=servers/ revision=5 items=1 toRevision=9 isWhole=false"
                        + " controller=r7 reason=does-not-apply skippedBefore=0");
        assertThat(linesOf("view-caught-up"))
                .containsExactly("view-caught-up prefix=servers/ revision=11 items=1 skippedBefore=1");
    }

    @Test
    void shouldSayWhatBecameOfEachChangeThatTheControllerRead() throws InterruptedException {
        listOneServerAndHearTheController();
        inbox.offer(ControllerView.ofServers().list(3).updateFrom(1));
        controller.list(9, item("servers/b", 9), item("servers/c", 7));
        inbox.offer(controller.updateFrom(8));
        inbox.offer(controller.updateFrom(5));

        duty.runStep();

        assertThat(results).containsExactly(UpdateResult.OLDER, UpdateResult.DOES_NOT_APPLY, UpdateResult.APPLIED);
    }

    @Test
    void shouldReportAChangeThatArrivesBeforeTheItemsAreListed() throws InterruptedException {
        controller.list(4).list(9, item("servers/b", 9));
        inbox.offer(controller.updateFrom(4));

        duty.runStep();

        assertThat(linesOf("view-update-skipped"))
                .singleElement()
                .asString()
                .endsWith(" reason=not-listed skippedBefore=0");
    }

    @Test
    void shouldReportAChangeThatIsOlderThanWhatWasRead() throws InterruptedException {
        store.enqueueListing(new Listing(List.of(), 12));
        duty.runStep();
        controller.list(4).list(9, item("servers/a", 9));
        inbox.offer(controller.updateFrom(4));

        duty.runStep();

        assertThat(linesOf("view-update-skipped"))
                .containsExactly("view-update-skipped prefix=servers/ revision=12 items=0 toRevision=9 isWhole=false"
                        + " controller=r7 reason=older skippedBefore=0");
    }

    @Test
    void shouldReportWhereTheViewComesFrom() throws InterruptedException {
        listOneServerAndHearTheController();

        runStepsFor(2 * ViewFollower.TOLD_OVERDUE_MILLIS);

        assertThat(linesOf("view-source-changed"))
                .extracting(line -> line.replaceAll(".* source=(\\S+) reason=(\\S+) .*", "$1 $2"))
                .containsExactly(
                        "store not-listed",
                        "controller controller-confirms",
                        "store controller-silent",
                        "store store-failed");
    }
}
