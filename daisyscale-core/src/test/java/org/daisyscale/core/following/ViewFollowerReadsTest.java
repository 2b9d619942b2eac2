package org.daisyscale.core.following;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import org.daisyscale.core.following.ReadRequest.Kind;
import org.daisyscale.core.following.ReadRequest.Reason;
import org.junit.jupiter.api.Test;

class ViewFollowerReadsTest {
    private final FollowerDriver driver = new FollowerDriver();

    @Test
    void shouldListFirst() {
        driver.step();

        assertThat(driver.reads()).containsExactly(new ReadRequest(Kind.LIST, 0, 0, Reason.NOT_LISTED));
    }

    @Test
    void shouldWatchBrieflyWhileItHearsNoController() {
        driver.list(7);

        driver.advance(FollowerDriver.BATCH_MILLIS);

        assertThat(driver.reads())
                .containsExactly(
                        new ReadRequest(Kind.WATCH, 7, ViewFollower.ALONE_WAIT_MILLIS, Reason.CONTROLLER_SILENT));
        assertThat(ViewFollower.ALONE_WAIT_MILLIS).isLessThanOrEqualTo(900);
    }

    @Test
    void shouldStartNoReadWhileTheControllerConfirms() {
        driver.follow(7);

        for (int count = 0; count < 120; count++) {
            driver.advance(ViewFollower.CONTROLLER_WAIT_MILLIS);
            driver.hear(7);
        }

        assertThat(driver.reads()).isEmpty();
        assertThat(driver.holdings()).isEmpty();
    }

    @Test
    void shouldReportTwiceWithinTheTimeoutOfOthersAsController() {
        driver.becomeController();
        driver.list(7);

        driver.advance(FollowerDriver.BATCH_MILLIS);

        assertThat(driver.reads()).hasSize(1);
        assertThat(driver.reads().get(0).kind()).isEqualTo(Kind.WATCH);
        assertThat(2 * driver.reads().get(0).waitMillis()).isLessThan(ViewFollower.TOLD_OVERDUE_MILLIS);
    }

    @Test
    void shouldKeepAWatchThatMissedNothing() {
        driver.list(7);
        driver.advance(FollowerDriver.BATCH_MILLIS);
        driver.reads().clear();

        for (int count = 0; count < 10; count++) {
            driver.hear(7);
            driver.advance(FollowerDriver.LAG_MILLIS);
        }

        assertThat(driver.reads()).isEmpty();
    }

    @Test
    void shouldGiveTheControllerTimeToSendWhatItJustReported() {
        driver.follow(7);
        driver.hear(8);

        driver.advance(FollowerDriver.LAG_MILLIS);

        assertThat(driver.holdings()).isEmpty();
        assertThat(driver.reads()).isEmpty();
    }

    @Test
    void shouldListWhenARevisionWasMissedAlthoughNewerOnesAreReportedMoreOftenThanTheLag() {
        driver.follow(7);
        driver.hear(8);

        driver.advance(ViewFollower.TOLD_OVERDUE_MILLIS - 1);
        assertThat(driver.reads()).isEmpty();
        driver.hear(9);
        driver.advance(ViewFollower.READ_SPREAD_MILLIS + 1);

        assertThat(driver.reads()).containsExactly(new ReadRequest(Kind.LIST, 0, 0, Reason.CONTROLLER_AHEAD));
    }

    @Test
    void shouldListOnceTheControllerFellSilent() {
        driver.follow(7);

        driver.advance(ViewFollower.TOLD_OVERDUE_MILLIS - 1);
        assertThat(driver.reads()).isEmpty();
        assertThat(driver.follower().isTold(driver.nowNanos())).isTrue();

        driver.advance(ViewFollower.READ_SPREAD_MILLIS + 1);
        assertThat(driver.reads()).extracting(ReadRequest::kind).containsExactly(Kind.LIST);
    }

    @Test
    void shouldWatchAgainAfterTheListingWhileTheControllerIsSilent() {
        driver.follow(7);
        driver.advance(ViewFollower.TOLD_OVERDUE_MILLIS + ViewFollower.READ_SPREAD_MILLIS);
        driver.reads().clear();

        driver.follower().recordRead(FollowerDriver.version(8), 0, true, driver.nowNanos());
        driver.advance(FollowerDriver.BATCH_MILLIS);

        assertThat(driver.reads())
                .containsExactly(
                        new ReadRequest(Kind.WATCH, 8, ViewFollower.ALONE_WAIT_MILLIS, Reason.CONTROLLER_SILENT));
    }

    @Test
    void shouldListInsteadOfAWatchWhoseResponseIsLost() {
        driver.list(7);
        driver.advance(FollowerDriver.BATCH_MILLIS);
        driver.reads().clear();

        driver.advance(ViewFollower.ALONE_OVERDUE_MILLIS - 1);
        assertThat(driver.reads()).isEmpty();
        driver.advance(1);

        assertThat(driver.reads()).extracting(ReadRequest::kind).containsExactly(Kind.LIST);
    }

    @Test
    void shouldListSoonerAsControllerWhenTheResponseOfAWatchIsLost() {
        driver.becomeController();
        driver.list(7);
        driver.advance(FollowerDriver.BATCH_MILLIS);
        driver.reads().clear();

        driver.advance(ViewFollower.CONTROLLER_OVERDUE_MILLIS);

        assertThat(driver.reads()).extracting(ReadRequest::kind).containsExactly(Kind.LIST);
    }

    @Test
    void shouldReadAgainSoonAfterAFailureAndWithinTheTimeLimitOfAChange() {
        driver.follow(7);
        driver.hear(8);
        driver.advance(ViewFollower.TOLD_OVERDUE_MILLIS + ViewFollower.READ_SPREAD_MILLIS);
        assertThat(driver.reads()).hasSize(1);
        driver.advance(300);
        driver.hear(9);

        driver.follower().recordFailed(driver.nowNanos());
        driver.advance(60);

        assertThat(driver.reads()).hasSize(2);
        assertThat(driver.millisSinceStart(driver.nowNanos())).isLessThan(2_000);
    }

    @Test
    void shouldStepWhenAPendingWatchIsOverdue() {
        driver.list(7);
        driver.advance(FollowerDriver.BATCH_MILLIS);
        driver.advance(ViewFollower.ALONE_OVERDUE_MILLIS - 20);

        long waitMillis = driver.follower().next(false, driver.nowNanos()).waitMillis();

        assertThat(waitMillis).isLessThanOrEqualTo(21);
    }

    @Test
    void shouldStepWhenTheNextReadIsDue() {
        driver.follow(7);
        driver.hear(8);
        driver.advance(ViewFollower.TOLD_OVERDUE_MILLIS + ViewFollower.READ_SPREAD_MILLIS);
        assertThat(driver.reads()).hasSize(1);
        driver.hear(9);
        driver.follower().recordFailed(driver.nowNanos());

        long waitMillis = driver.follower().next(false, driver.nowNanos()).waitMillis();

        assertThat(waitMillis).isLessThanOrEqualTo(61);
    }

    @Test
    void shouldNotReadMoreOftenWhileTheControllerIsHeard() {
        driver.follow(7);

        int readCount = 0;
        for (int millis = 0; millis < 10_000; millis++) {
            driver.hear(9);
            driver.advance(1);
            if (!driver.reads().isEmpty()) {
                driver.reads().clear();
                readCount++;
                driver.follower().recordRead(FollowerDriver.version(8), 0, true, driver.nowNanos());
            }
        }

        assertThat(readCount).isBetween(1, (int) (10_000 / ViewFollower.READ_AGAIN_MILLIS));
    }

    @Test
    void shouldSpreadTheReadsOfSeveralRoutersThatNoticeTheSameFault() {
        Set<Long> dueMillis = new HashSet<>();
        for (int seed = 0; seed < 95; seed++) {
            ViewFollower other = new ViewFollower(new SplittableRandom(seed), FollowerDriver.BATCH_MILLIS, false, 0);
            other.next(false, 0);
            other.recordRead(FollowerDriver.version(7), 0, true, 0);
            other.hear(FollowerDriver.TELLER, FollowerDriver.version(7), 0);
            long millis = 0;
            while (other.next(false, millis * FollowerDriver.MILLIS).read().isEmpty()) {
                millis++;
            }
            dueMillis.add(millis);
        }

        assertThat(dueMillis).hasSizeGreaterThan(30);
        assertThat(dueMillis)
                .allMatch(millis -> millis >= ViewFollower.TOLD_OVERDUE_MILLIS
                        && millis <= ViewFollower.TOLD_OVERDUE_MILLIS + ViewFollower.READ_SPREAD_MILLIS);
    }

    @Test
    void shouldNotCallTheStoreWithoutAPauseWhenWatchesEndAtOnce() {
        driver.list(7);

        int readCount = 0;
        for (int millis = 0; millis < 1_000; millis++) {
            driver.advance(1);
            if (!driver.reads().isEmpty()) {
                driver.reads().clear();
                readCount++;
                driver.follower().recordRead(FollowerDriver.version(7), 0, true, driver.nowNanos());
            }
        }

        assertThat(readCount).isBetween(1, (int) (1_000 / FollowerDriver.BATCH_MILLIS));
    }

    @Test
    void shouldListAtOnceWhenTheHistoryOfAWatchIsLost() {
        driver.list(7);
        driver.advance(FollowerDriver.BATCH_MILLIS);
        driver.reads().clear();

        driver.follower().recordRead(FollowerDriver.version(7), 0, false, driver.nowNanos());
        driver.step();

        assertThat(driver.reads()).extracting(ReadRequest::kind).containsExactly(Kind.LIST);
    }

    @Test
    void shouldListALargePrefixThatChangesQuickly() {
        ViewFollower large = new ViewFollower(new SplittableRandom(1), FollowerDriver.BATCH_MILLIS, true, 0);
        large.next(true, 0);
        large.recordRead(FollowerDriver.version(7), 0, true, 0);
        assertThat(large.next(true, 200 * FollowerDriver.MILLIS).read())
                .get()
                .extracting(ReadRequest::kind)
                .isEqualTo(Kind.WATCH);
        large.recordRead(FollowerDriver.version(9), 2, true, 300 * FollowerDriver.MILLIS);
        assertThat(large.next(true, 500 * FollowerDriver.MILLIS).read())
                .get()
                .extracting(ReadRequest::kind)
                .isEqualTo(Kind.LIST);

        large.recordRead(FollowerDriver.version(9), 0, true, 500 * FollowerDriver.MILLIS);

        assertThat(large.next(true, 700 * FollowerDriver.MILLIS).read())
                .get()
                .extracting(ReadRequest::kind)
                .isEqualTo(Kind.WATCH);
    }

    /** The former controller may have held items that were gone; a watch would not report their removal. */
    @Test
    void shouldListWhenItBecomesTheControllerAndWatchThen() {
        driver.follow(7);
        driver.follower().recordApplied(FollowerDriver.version(8));
        driver.becomeController();

        driver.step();
        driver.follower().recordRead(FollowerDriver.version(9), 0, true, driver.nowNanos());
        driver.advance(FollowerDriver.BATCH_MILLIS);

        assertThat(driver.reads())
                .containsExactly(
                        new ReadRequest(Kind.LIST, 0, 0, Reason.CONTROLLER),
                        new ReadRequest(Kind.WATCH, 9, ViewFollower.CONTROLLER_WAIT_MILLIS, Reason.CONTROLLER));
        assertThat(driver.holdings()).isEmpty();
    }

    @Test
    void shouldListInsteadOfItsPendingWatchWhenItBecomesTheController() {
        driver.list(7);
        driver.advance(FollowerDriver.BATCH_MILLIS);
        assertThat(driver.reads()).extracting(ReadRequest::kind).containsExactly(Kind.WATCH);
        driver.reads().clear();
        driver.becomeController();

        driver.step();

        assertThat(driver.reads()).containsExactly(new ReadRequest(Kind.LIST, 0, 0, Reason.CONTROLLER));
    }

    @Test
    void shouldAlwaysWaitBetweenTwoStepsWithoutAnEvent() {
        driver.follow(7);
        driver.hear(8);

        for (int count = 0; count < 500; count++) {
            FollowStep step = driver.follower().next(false, driver.nowNanos());
            assertThat(step.waitMillis()).isBetween(1L, 201L);
            driver.pass(step.waitMillis());
        }
    }
}
