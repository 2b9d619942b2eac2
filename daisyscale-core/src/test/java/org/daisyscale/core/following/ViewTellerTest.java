package org.daisyscale.core.following;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.daisyscale.core.following.ViewTeller.Telling;
import org.junit.jupiter.api.Test;

class ViewTellerTest {
    private static final long MILLIS = 1_000_000L;
    private static final ViewVersion OLD = new ViewVersion(7, 70);
    private static final ViewVersion OWN = new ViewVersion(9, 90);

    private long nowNanos = Long.MAX_VALUE - 100 * MILLIS;
    private final ViewTeller teller = new ViewTeller();

    private void advance(long millis) {
        nowNanos += millis * MILLIS;
    }

    private void hold(String routerId, ViewVersion held) {
        teller.recordHeld(routerId, held, false, nowNanos);
    }

    private List<Telling> next(ViewVersion own) {
        return teller.next(own, held -> held.revision() > 0, nowNanos);
    }

    @Test
    void shouldTellAFollowerTheDifferenceFromWhatItHolds() {
        hold("r1", OLD);

        assertThat(next(OWN)).containsExactly(new Telling("r1", OLD, false));
    }

    @Test
    void shouldTellNothingToAFollowerThatHoldsTheSameItems() {
        hold("r1", new ViewVersion(5, OWN.digest()));

        assertThat(next(OWN)).isEmpty();
    }

    @Test
    void shouldTellNothingToAFollowerThatReadFurther() {
        hold("r1", new ViewVersion(10, 100));

        assertThat(next(OWN)).isEmpty();
        assertThat(next(new ViewVersion(11, 110))).hasSize(1);
    }

    @Test
    void shouldTellAFollowerThatHoldsOtherItemsAtTheSameRevision() {
        hold("r1", new ViewVersion(OWN.revision(), 91));

        assertThat(next(OWN)).hasSize(1);
    }

    @Test
    void shouldTellTheWholeViewToAFollowerThatHoldsNothing() {
        hold("r1", ViewVersion.NONE);

        assertThat(next(OWN)).containsExactly(new Telling("r1", ViewVersion.NONE, true));
    }

    @Test
    void shouldTellTheWholeViewOfAnEmptyPrefix() {
        hold("r1", ViewVersion.NONE);

        assertThat(next(new ViewVersion(9, 0))).hasSize(1);
    }

    @Test
    void shouldTellNothingBeforeAnythingWasRead() {
        hold("r1", ViewVersion.NONE);

        assertThat(next(ViewVersion.NONE)).isEmpty();
    }

    @Test
    void shouldTellOneUpdateAtATimeAndSkipVersionsOfASlowFollower() {
        hold("r1", OLD);
        next(OWN);

        assertThat(next(new ViewVersion(10, 100))).isEmpty();
        hold("r1", OWN);
        assertThat(next(new ViewVersion(12, 120))).containsExactly(new Telling("r1", OWN, false));
    }

    @Test
    void shouldTellTheWholeViewWhenADifferenceDidNotApply() {
        hold("r1", OLD);
        next(OWN);

        teller.recordHeld("r1", OLD, true, nowNanos);

        assertThat(next(OWN)).containsExactly(new Telling("r1", OLD, true));
    }

    @Test
    void shouldTellAgainAfterALossOnly() {
        hold("r1", OLD);
        next(OWN);
        advance(ViewTeller.RESEND_MILLIS - 1);

        hold("r1", OLD);
        assertThat(next(OWN)).isEmpty();
        advance(1);
        hold("r1", OLD);
        assertThat(next(OWN)).hasSize(1);
    }

    /** A follower asks at {@link ViewFollower#ASK_AFTER_MILLIS} for the first time; that question must be answered. */
    @Test
    void shouldTellAgainWhenAFollowerAsksForTheFirstTime() {
        assertThat(ViewTeller.RESEND_MILLIS).isLessThanOrEqualTo(ViewFollower.ASK_AFTER_MILLIS);
    }

    @Test
    void shouldTellAWholeViewAgainLater() {
        hold("r1", ViewVersion.NONE);
        next(OWN);
        advance(ViewTeller.RESEND_WHOLE_MILLIS - 1);

        hold("r1", ViewVersion.NONE);
        assertThat(next(OWN)).isEmpty();
        advance(1);
        hold("r1", ViewVersion.NONE);
        assertThat(next(OWN)).hasSize(1);
    }

    @Test
    void shouldTellNewerChangesAfterAWhileWithoutAnAcknowledgement() {
        hold("r1", OLD);
        next(OWN);
        advance(ViewTeller.UNACKNOWLEDGED_MILLIS - 1);
        assertThat(next(new ViewVersion(10, 100))).isEmpty();
        advance(1);

        assertThat(next(OWN)).isEmpty();
        assertThat(next(new ViewVersion(10, 100))).containsExactly(new Telling("r1", OLD, false));
    }

    @Test
    void shouldNotTellNewerWholeViewsWithoutAnAcknowledgement() {
        hold("r1", ViewVersion.NONE);
        next(OWN);
        advance(10 * ViewTeller.WHOLE_MILLIS);

        assertThat(next(new ViewVersion(10, 100))).isEmpty();
    }

    @Test
    void shouldTellNobodyWhoWasForgotten() {
        hold("r1", OLD);
        hold("r2", OLD);
        teller.forget("r1");

        assertThat(next(OWN)).containsExactly(new Telling("r2", OLD, false));
        hold("r1", OLD);
        teller.forgetAll();
        assertThat(next(new ViewVersion(10, 100))).isEmpty();
    }

    @Test
    void shouldSendAFewWholeViewsAtATimeToManyFollowers() {
        for (int index = 0; index < 95; index++) {
            hold("r" + index, ViewVersion.NONE);
        }

        int told = 0;
        for (int round = 0; told < 95; round++) {
            List<Telling> tellings = next(OWN);
            assertThat(round).isLessThan(95 / ViewTeller.MAX_WHOLE_ON_THE_WAY + 1);
            assertThat(tellings).hasSizeLessThanOrEqualTo(ViewTeller.MAX_WHOLE_ON_THE_WAY);
            assertThat(next(OWN)).isEmpty();
            tellings.forEach(telling -> hold(telling.routerId(), OWN));
            told += tellings.size();
        }
    }

    @Test
    void shouldSendWholeViewsToOthersWhenSomeAreNeverAcknowledged() {
        for (int index = 0; index < 2 * ViewTeller.MAX_WHOLE_ON_THE_WAY; index++) {
            hold("r" + index, ViewVersion.NONE);
        }
        List<Telling> unanswered = next(OWN);
        advance(ViewTeller.WHOLE_MILLIS);

        assertThat(next(OWN)).hasSize(ViewTeller.MAX_WHOLE_ON_THE_WAY).doesNotContainAnyElementsOf(unanswered);
    }

    @Test
    void shouldSendDifferencesBesideTheLimitOfWholeViews() {
        for (int index = 0; index < 95; index++) {
            hold("r" + index, OLD);
        }

        assertThat(next(OWN)).hasSize(95).noneMatch(Telling::isWhole);
    }
}
