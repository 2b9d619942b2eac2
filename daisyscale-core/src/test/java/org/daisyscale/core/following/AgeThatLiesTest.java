package org.daisyscale.core.following;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against ages that lie, as in the incident DENIED: an unrelated event made a gap or a view younger. */
class AgeThatLiesTest {
    private static final long MILLIS = 1_000_000L;
    private static final ViewVersion HELD = new ViewVersion(10, 111);
    private static final Teller FIRST = new Teller("r1", 1);
    private static final Teller SECOND = new Teller("r2", 2);

    private long nowNanos = 77 * MILLIS;
    private final ViewFollower follower = new ViewFollower(new SplittableRandom(1), 200, false, nowNanos);

    private void advance(long millis) {
        nowNanos += millis * MILLIS;
    }

    private void listInMillis(ViewVersion newHeld, long millis) {
        follower.next(false, nowNanos);
        advance(millis);
        follower.recordRead(newHeld, 0, true, nowNanos);
    }

    @Test
    void shouldKeepAGapThatALaterControllerHasNotReadYet() {
        listInMillis(HELD, 5);
        follower.hear(FIRST, new ViewVersion(20, 222), 0, nowNanos);
        advance(100);

        follower.hear(SECOND, new ViewVersion(12, HELD.digest()), 0, nowNanos);

        assertThat(follower.isBehind()).isTrue();
        assertThat(follower.ageMillis(nowNanos)).isGreaterThanOrEqualTo(100);
    }

    @Test
    void shouldCloseAGapByALaterReportOfTheSameItems() {
        listInMillis(HELD, 5);
        follower.hear(FIRST, new ViewVersion(20, 222), 0, nowNanos);
        advance(100);

        follower.hear(FIRST, new ViewVersion(21, HELD.digest()), 0, nowNanos);

        assertThat(follower.isBehind()).isFalse();
        assertThat(follower.ageMillis(nowNanos)).isZero();
    }

    @Test
    void shouldCountAListingAsOldAsItsCallWhenTheResponseTookLong() {
        listInMillis(HELD, 5);
        advance(300);
        follower.next(false, nowNanos);
        follower.recordFailed(nowNanos);
        advance(100);

        listInMillis(HELD, 8_000);

        assertThat(follower.ageMillis(nowNanos)).isGreaterThanOrEqualTo(8_000);
    }

    @Test
    void shouldNoticeAWatchOfTheControllerWithoutAResponseAsSoonAsItIsOverdue() {
        follower.next(true, nowNanos);
        follower.recordRead(HELD, 0, true, nowNanos);
        advance(200);
        assertThat(follower.next(true, nowNanos).read()).isPresent();
        long startedNanos = nowNanos;
        advance(150);

        FollowStep step = follower.next(true, nowNanos);
        while (step.read().isEmpty()) {
            advance(step.waitMillis());
            step = follower.next(true, nowNanos);
        }

        assertThat(step.read().get().kind()).isEqualTo(ReadRequest.Kind.LIST);
        assertThat((nowNanos - startedNanos) / MILLIS).isLessThanOrEqualTo(ViewFollower.CONTROLLER_OVERDUE_MILLIS + 1);
    }

    @Test
    void shouldBeAsOldAsTheReportOfTheSameItems() {
        listInMillis(HELD, 5);
        advance(900);
        follower.next(false, nowNanos);

        follower.hear(FIRST, new ViewVersion(12, HELD.digest()), 600, nowNanos);

        assertThat(follower.ageMillis(nowNanos)).isEqualTo(600);
    }

    @Test
    void shouldBeAsOldAsTheReportOfAnUpdateThatIsAppliedAfterIt() {
        listInMillis(HELD, 5);
        advance(3_000);
        follower.hear(FIRST, new ViewVersion(20, 222), 2_500, nowNanos);
        advance(5);

        follower.recordApplied(new ViewVersion(20, 222));

        assertThat(follower.isBehind()).isFalse();
        assertThat(follower.ageMillis(nowNanos)).isGreaterThanOrEqualTo(2_500);
    }
}
