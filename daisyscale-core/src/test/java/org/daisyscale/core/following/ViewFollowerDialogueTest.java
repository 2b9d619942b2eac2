package org.daisyscale.core.following;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.daisyscale.core.following.FollowStep.Holding;
import org.daisyscale.core.following.ReadRequest.Kind;
import org.junit.jupiter.api.Test;

class ViewFollowerDialogueTest {
    private final FollowerDriver driver = new FollowerDriver();

    @Test
    void shouldAskAndThenListInsteadOfAWatchThatMissedWhatTheControllerRead() {
        driver.list(7);
        driver.advance(FollowerDriver.BATCH_MILLIS);
        assertThat(driver.reads()).extracting(ReadRequest::kind).containsExactly(Kind.WATCH);
        driver.reads().clear();
        driver.hear(7);
        driver.advance(ViewFollower.ASK_AGAIN_MILLIS);
        driver.holdings().clear();
        driver.hear(8);

        driver.advance(ViewFollower.ASK_AFTER_MILLIS - 1);
        assertThat(driver.holdings()).isEmpty();
        driver.advance(1);
        assertThat(driver.holdings())
                .containsExactly(new Holding(FollowerDriver.TELLER, FollowerDriver.version(7), false));

        driver.reportNewerRevisionsWithinTheLag(8);
        assertThat(driver.reads()).extracting(ReadRequest::kind).containsExactly(Kind.LIST);
    }

    /** Guards against listings by routers that keep up with the controller. */
    @Test
    void shouldNeitherAskNorReadWhileEachReportedRevisionIsReachedWithinTheLag() {
        driver.follow(7);

        for (long revision = 8; revision < 20; revision++) {
            driver.hear(revision);
            driver.advance(FollowerDriver.LAG_MILLIS);
            assertThat(driver.holdings()).isEmpty();
            driver.follower().recordApplied(FollowerDriver.version(revision));
            driver.step();
            assertThat(driver.holdings())
                    .containsExactly(new Holding(FollowerDriver.TELLER, FollowerDriver.version(revision), false));
            driver.holdings().clear();
        }

        assertThat(driver.reads()).isEmpty();
        assertThat(driver.follower().isBehind()).isFalse();
    }

    @Test
    void shouldSayWhatItHoldsOnceForEachControllerAndConnection() {
        driver.list(7);
        for (Teller teller :
                List.of(FollowerDriver.TELLER, FollowerDriver.TELLER, new Teller("r1", 2), new Teller("r2", 3))) {
            driver.follower().hear(teller, FollowerDriver.version(7), 0, driver.nowNanos());
            driver.step();
        }

        assertThat(driver.holdings())
                .extracting(Holding::teller)
                .containsExactly(FollowerDriver.TELLER, new Teller("r1", 2), new Teller("r2", 3));
    }

    @Test
    void shouldSayWhatItHoldsAgainToAControllerThatWasSilent() {
        driver.follow(7);
        driver.advance(ViewFollower.TOLD_OVERDUE_MILLIS + ViewFollower.READ_SPREAD_MILLIS);
        driver.follower().recordRead(FollowerDriver.version(8), 0, true, driver.nowNanos());

        driver.hear(8);
        driver.step();

        assertThat(driver.holdings())
                .containsExactly(new Holding(FollowerDriver.TELLER, FollowerDriver.version(8), false));
    }

    @Test
    void shouldAcknowledgeAnUpdate() {
        driver.follow(7);

        driver.follower().recordApplied(FollowerDriver.version(8));
        driver.step();

        assertThat(driver.holdings())
                .containsExactly(new Holding(FollowerDriver.TELLER, FollowerDriver.version(8), false));
    }

    @Test
    void shouldSayWhatItReadItself() {
        driver.follow(7);
        driver.hear(8);
        driver.advance(ViewFollower.TOLD_OVERDUE_MILLIS - 1);
        driver.hear(9);
        driver.advance(ViewFollower.READ_SPREAD_MILLIS + 1);
        assertThat(driver.reads()).hasSize(1);
        driver.holdings().clear();

        driver.follower().recordRead(FollowerDriver.version(8), 0, true, driver.nowNanos());
        driver.step();

        assertThat(driver.holdings())
                .containsExactly(new Holding(FollowerDriver.TELLER, FollowerDriver.version(8), false));
    }

    @Test
    void shouldAskForTheWholeAtOnceWhenADifferenceDoesNotApply() {
        driver.follow(7);
        driver.hear(8);

        driver.follower()
                .recordRefused(UpdateResult.DOES_NOT_APPLY, FollowerDriver.update(8, false), driver.nowNanos());
        driver.step();

        assertThat(driver.holdings())
                .containsExactly(new Holding(FollowerDriver.TELLER, FollowerDriver.version(7), true));
    }

    @Test
    void shouldAskLaterWhenTheWholeDoesNotApply() {
        driver.follow(7);
        driver.hear(8);

        driver.follower().recordRefused(UpdateResult.DOES_NOT_APPLY, FollowerDriver.update(8, true), driver.nowNanos());
        driver.advance(ViewFollower.ASK_AGAIN_MILLIS - 1);
        assertThat(driver.holdings()).isEmpty();
        driver.advance(1);

        assertThat(driver.holdings())
                .containsExactly(new Holding(FollowerDriver.TELLER, FollowerDriver.version(7), true));
    }

    @Test
    void shouldNoLongerAskForTheWholeWhenItHoldsWhatTheControllerHolds() {
        driver.follow(7);
        driver.hear(8);
        driver.follower()
                .recordRefused(UpdateResult.DOES_NOT_APPLY, FollowerDriver.update(8, false), driver.nowNanos());
        driver.step();
        driver.holdings().clear();

        driver.hear(7);
        driver.follower()
                .hear(
                        FollowerDriver.TELLER,
                        new ViewVersion(9, FollowerDriver.version(7).digest()),
                        0,
                        driver.nowNanos());
        driver.step();

        assertThat(driver.holdings())
                .containsExactly(new Holding(
                        FollowerDriver.TELLER,
                        new ViewVersion(9, FollowerDriver.version(7).digest()),
                        false));
    }

    @Test
    void shouldAskAgainWhileAGapIsOpen() {
        driver.follow(7);
        driver.hear(8);

        driver.advance(ViewFollower.ASK_AFTER_MILLIS + 2 * ViewFollower.ASK_AGAIN_MILLIS);

        assertThat(driver.holdings())
                .hasSize(3)
                .allMatch(new Holding(FollowerDriver.TELLER, FollowerDriver.version(7), false)::equals);
    }
}
