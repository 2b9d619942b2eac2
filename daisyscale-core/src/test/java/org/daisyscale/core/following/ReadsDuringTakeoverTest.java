package org.daisyscale.core.following;

import static org.assertj.core.api.Assertions.assertThat;

import org.daisyscale.core.following.ReadRequest.Kind;
import org.junit.jupiter.api.Test;

/**
 * Guards against a call of the store for each change while another router is about to take over, without letting the
 * view of a router become older than the time limit of a change.
 */
class ReadsDuringTakeoverTest {
    private static final long LIMIT_MILLIS = 2_000;

    private final FollowerDriver driver = new FollowerDriver(true);

    /** Lets {@code millis} pass while the prefix changes each 100 ms; returns the number of reads. */
    private int countReads(long millis) {
        int readCount = 0;
        for (long passed = 0; passed < millis; passed++) {
            driver.advance(1);
            if (passed % 100 == 99 && !driver.reads().isEmpty()) {
                readCount += driver.reads().size();
                driver.reads().clear();
                driver.follower().recordRead(FollowerDriver.version(8 + passed), 0, true, driver.nowNanos());
            }
            assertThat(driver.follower().ageMillis(driver.nowNanos())).isLessThan(LIMIT_MILLIS);
        }
        return readCount;
    }

    @Test
    void shouldListOnceBeforeAnotherControllerReportsInTime() {
        driver.follow(7);

        assertThat(countReads(2_000)).isEqualTo(1);
    }

    @Test
    void shouldListAtTheStartAndNotWatchUntilAControllerShouldHaveReported() {
        driver.list(7);

        assertThat(countReads(1_000)).isZero();
        assertThat(countReads(2_000)).isBetween(1, 2);
    }

    @Test
    void shouldReadAgainInTimeWhenAListingDuringTheTakeoverFails() {
        driver.follow(7);
        driver.advance(ViewFollower.TOLD_OVERDUE_MILLIS + ViewFollower.READ_SPREAD_MILLIS);
        assertThat(driver.reads()).hasSize(1);

        driver.advance(600);
        driver.follower().recordFailed(driver.nowNanos());
        driver.advance(60);

        assertThat(driver.reads()).hasSize(2);
        assertThat(driver.millisSinceStart(driver.nowNanos())).isLessThan(LIMIT_MILLIS);
    }

    @Test
    void shouldWatchOnceNoControllerTookOverInTime() {
        driver.follow(7);
        countReads(ViewFollower.TAKEOVER_MILLIS + ViewFollower.READ_SPREAD_MILLIS);

        driver.advance(ViewFollower.TOLD_OVERDUE_MILLIS);
        driver.follower().recordRead(FollowerDriver.version(9_000), 0, true, driver.nowNanos());
        driver.advance(FollowerDriver.BATCH_MILLIS);

        assertThat(driver.reads()).extracting(ReadRequest::kind).last().isEqualTo(Kind.WATCH);
    }
}
