package org.daisyscale.core.following;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ViewAgeTest {
    private static final long MILLIS = 1_000_000L;
    /** Close to the largest value, so that the clock overflows during each test. */
    private static final long START_NANOS = Long.MAX_VALUE - 50 * MILLIS;

    private final ViewAge age = new ViewAge(START_NANOS);

    private static long at(long millis) {
        return START_NANOS + millis * MILLIS;
    }

    private static ViewVersion version(long revision, long digest) {
        return new ViewVersion(revision, digest);
    }

    @Test
    void shouldAgeFromItsStart() {
        assertThat(age.millis(at(100))).isEqualTo(100);
        assertThat(age.hasGap()).isFalse();
    }

    @Test
    void shouldAgeFromTheOldestReportOfWhatIsMissed() {
        age.recordMatching(version(7, 70), at(100));
        age.recordMissed(version(8, 80), at(200));
        age.recordMissed(version(9, 90), at(300));

        assertThat(age.gapNanos()).isEqualTo(at(200));
        assertThat(age.millis(at(400))).isEqualTo(300);
    }

    @Test
    void shouldAgeFromTheFirstReportThatIsReachedWhenOnlySomeAre() {
        age.recordMissed(version(8, 80), at(100));
        age.recordMissed(version(9, 90), at(200));

        age.recordHeld(version(8, 80));

        assertThat(age.hasGap()).isTrue();
        assertThat(age.gapNanos()).isEqualTo(at(200));
        assertThat(age.millis(at(300))).isEqualTo(200);
    }

    @Test
    void shouldReachAReportByAHigherRevision() {
        age.recordMissed(version(8, 80), at(100));

        age.recordHeld(version(9, 90));

        assertThat(age.hasGap()).isFalse();
        assertThat(age.currentNanos()).isEqualTo(at(100));
    }

    @Test
    void shouldNotReachAReportOfOtherItemsAtTheSameRevision() {
        age.recordMissed(version(8, 80), at(100));

        age.recordHeld(version(8, 81));

        assertThat(age.hasGap()).isTrue();
    }

    /** A read at the same revision proves that nothing is missing up to it, whatever another router held there. */
    @Test
    void shouldReachAReportOfOtherItemsByAReadAtTheSameRevision() {
        age.recordMissed(version(8, 80), at(100));

        age.recordRead(version(8, 81), at(150));

        assertThat(age.hasGap()).isFalse();
        assertThat(age.currentNanos()).isEqualTo(at(150));
    }

    @Test
    void shouldNotBecomeCurrentByAReadThatReachesNotAllReports() {
        age.recordMissed(version(8, 80), at(100));
        age.recordMissed(version(9, 90), at(200));

        age.recordRead(version(8, 80), at(300));

        assertThat(age.hasGap()).isTrue();
        assertThat(age.millis(at(400))).isEqualTo(300);
    }

    @Test
    void shouldNotBecomeCurrentByAReportOfWhatIsHeldWhileAnotherIsMissed() {
        age.recordMissed(version(8, 80), at(100));

        age.recordMatching(version(7, 70), at(300));

        assertThat(age.hasGap()).isTrue();
        assertThat(age.millis(at(400))).isGreaterThanOrEqualTo(300);
    }

    @Test
    void shouldReachAllOlderReportsByAReportOfWhatIsHeld() {
        age.recordMissed(version(8, 80), at(100));
        age.recordMissed(version(9, 90), at(200));

        age.recordMatching(version(10, 100), at(300));

        assertThat(age.hasGap()).isFalse();
        assertThat(age.currentNanos()).isEqualTo(at(300));
    }

    /** Reports of two controllers arrive in any order. */
    @Test
    void shouldAgeFromAMissedReportThatLiesBetweenReachedOnes() {
        age.recordMissed(version(8, 80), at(100));
        age.recordMissed(version(12, 120), at(200));
        age.recordMissed(version(9, 90), at(300));

        age.recordMatching(version(10, 100), at(400));

        assertThat(age.gapNanos()).isEqualTo(at(200));
        assertThat(age.millis(at(500))).isGreaterThanOrEqualTo(300);
    }

    @Test
    void shouldNotGoBackToAnEarlierTime() {
        age.recordMatching(version(7, 70), at(300));

        age.recordRead(version(7, 70), at(200));

        assertThat(age.currentNanos()).isEqualTo(at(300));
    }

    @Test
    void shouldKeepTheOldestOfMoreReportsThanItRemembers() {
        for (int index = 0; index < 200; index++) {
            age.recordMissed(version(8 + index, index), at(100 + index));
        }

        assertThat(age.gapNanos()).isEqualTo(at(100));
        age.recordHeld(version(206, 1));
        assertThat(age.hasGap()).isTrue();
        age.recordHeld(version(208, 1));
        assertThat(age.hasGap()).isFalse();
    }

    @Test
    void shouldRememberAReportThatIsRepeatedOnce() {
        age.recordMissed(version(8, 80), at(100));
        for (int index = 0; index < 200; index++) {
            age.recordMissed(version(9, 90), at(200 + index));
        }

        age.recordHeld(version(8, 80));

        assertThat(age.gapNanos()).isEqualTo(at(200));
    }
}
