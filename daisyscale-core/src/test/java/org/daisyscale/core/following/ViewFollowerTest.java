package org.daisyscale.core.following;

import static org.assertj.core.api.Assertions.assertThat;

import org.daisyscale.core.following.FollowStep.Holding;
import org.junit.jupiter.api.Test;

class ViewFollowerTest {
    private final FollowerDriver driver = new FollowerDriver();

    /** Guards against incident DENIED: each newer report let a router that missed a revision count as up to date. */
    @Test
    void shouldBeBehindAMissedRevisionAlthoughNewerOnesAreReportedMoreOftenThanTheLag() {
        driver.follow(7);
        driver.hear(8);

        driver.reportNewerRevisionsWithinTheLag(8);

        assertThat(driver.follower().isBehind()).isTrue();
        assertThat(driver.holdings()).isNotEmpty();
    }

    @Test
    void shouldBeCurrentWhenTheControllerHasReadNoFurther() {
        driver.list(7);
        driver.advance(300);

        assertThat(driver.hear(7)).isTrue();

        assertThat(driver.follower().isBehind()).isFalse();
        assertThat(driver.follower().currentNanos()).isEqualTo(driver.nowNanos());
    }

    @Test
    void shouldNotBeCurrentWhenTheControllerHasReadFurther() {
        driver.list(7);
        driver.advance(300);

        assertThat(driver.hear(8)).isFalse();

        assertThat(driver.follower().isBehind()).isTrue();
        assertThat(driver.millisSinceStart(driver.follower().currentNanos())).isZero();
    }

    @Test
    void shouldSayWhenTheViewWasKnownToBeComplete() {
        driver.list(7);
        assertThat(driver.millisSinceStart(driver.follower().currentNanos())).isZero();
        driver.advance(300);

        driver.hear(7);

        assertThat(driver.millisSinceStart(driver.follower().currentNanos())).isEqualTo(300);
    }

    /** Guards against ages that lie: a router lacked changes of 6 s while its log said that its view was current. */
    @Test
    void shouldAgeFromTheOldestMissedReportWhenNewerOnesFollow() {
        driver.follow(7);
        driver.hear(8);

        driver.reportNewerRevisionsWithinTheLag(8);

        assertThat(driver.follower().ageMillis(driver.nowNanos())).isEqualTo(10 * FollowerDriver.LAG_MILLIS);
    }

    @Test
    void shouldAgeFromTheOldestMissedReportWhenOnlySomeOfThemAreReached() {
        driver.follow(7);
        driver.hear(8);
        driver.advance(100);
        driver.hear(9);
        driver.advance(149);

        driver.follower().recordApplied(FollowerDriver.version(8));

        assertThat(driver.follower().ageMillis(driver.nowNanos())).isEqualTo(249);
        assertThat(driver.follower().isBehind()).isTrue();
        driver.step();
        driver.holdings().clear();
        driver.advance(ViewFollower.ASK_AGAIN_MILLIS);
        assertThat(driver.holdings())
                .containsExactly(new Holding(FollowerDriver.TELLER, FollowerDriver.version(8), false));
    }

    @Test
    void shouldNotBecomeCurrentByAReportOfWhatIsHeldWhileAnotherIsMissed() {
        driver.follow(7);
        driver.hear(8);
        driver.advance(300);

        driver.hear(7);

        assertThat(driver.follower().ageMillis(driver.nowNanos())).isEqualTo(300);
        assertThat(driver.follower().isBehind()).isTrue();
    }

    @Test
    void shouldNotBecomeCurrentByAReadOfLessThanWasReported() {
        driver.follow(7);
        driver.hear(9);
        driver.advance(ViewFollower.TOLD_OVERDUE_MILLIS + ViewFollower.READ_SPREAD_MILLIS);

        driver.follower().recordRead(FollowerDriver.version(8), 0, true, driver.nowNanos());

        assertThat(driver.follower().isBehind()).isTrue();
        assertThat(driver.follower().ageMillis(driver.nowNanos()))
                .isGreaterThanOrEqualTo(ViewFollower.TOLD_OVERDUE_MILLIS);
    }

    /** A response that was under way for long may lack what was written meanwhile. */
    @Test
    void shouldBeAsOldAsTheRequestOfAListing() {
        driver.step();
        driver.advance(400);

        driver.follower().recordRead(FollowerDriver.version(7), 0, true, driver.nowNanos());

        assertThat(driver.follower().ageMillis(driver.nowNanos())).isEqualTo(400);
    }

    /** What waited while this router stood still may have arrived at any time since its last step. */
    @Test
    void shouldBeAsOldAsItsLastStepWhenItStoodStill() {
        driver.follow(7);
        driver.pass(3_000);

        driver.hear(7);

        assertThat(driver.follower().ageMillis(driver.nowNanos())).isEqualTo(3_000);
        assertThat(driver.follower().isTold(driver.nowNanos())).isFalse();
    }

    @Test
    void shouldNotReportWhatItReadBeforeItStoodStill() {
        driver.becomeController();
        driver.list(7);
        driver.advance(FollowerDriver.BATCH_MILLIS);
        driver.pass(3_000);

        assertThat(driver.follower().recordRead(FollowerDriver.version(8), 1, true, driver.nowNanos()))
                .isFalse();

        assertThat(driver.follower().ageMillis(driver.nowNanos())).isEqualTo(3_000);
        driver.step();
        driver.advance(FollowerDriver.BATCH_MILLIS);
        assertThat(driver.follower().recordRead(FollowerDriver.version(9), 1, true, driver.nowNanos()))
                .isTrue();
    }

    /** The controller may keep a lapsed item longer, so that its items differ at the same revision. */
    @Test
    void shouldBecomeCurrentByAReadAtTheRevisionOfAReportOfOtherItems() {
        driver.follow(7);
        driver.follower().hear(FollowerDriver.TELLER, new ViewVersion(7, 71), driver.nowNanos());
        driver.advance(ViewFollower.TOLD_OVERDUE_MILLIS + ViewFollower.READ_SPREAD_MILLIS);

        driver.follower().recordRead(FollowerDriver.version(7), 0, true, driver.nowNanos());

        assertThat(driver.follower().isBehind()).isFalse();
    }
}
