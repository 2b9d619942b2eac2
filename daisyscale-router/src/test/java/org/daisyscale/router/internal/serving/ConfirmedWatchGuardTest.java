package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.daisyscale.core.peer.PeerMessage.StoreProgress;
import org.junit.jupiter.api.Test;

class ConfirmedWatchGuardTest {
    private static final long MILLIS = 1_000_000L;

    private final List<StoreProgress> published = new ArrayList<>();
    private final List<Long> currentTimes = new ArrayList<>();
    private long nowNanos = 50 * MILLIS;
    private boolean isController;
    private final ConfirmedWatchGuard guard = new ConfirmedWatchGuard(
            "servers/", published::add, () -> isController, nanos -> currentTimes.add(nanos), () -> nowNanos);

    private void advance(long millis) {
        nowNanos += millis * MILLIS;
    }

    @Test
    void shouldUseAShortWaitWithoutConfirmations() {
        assertThat(guard.nextWait()).hasMillis(ConfirmedWatchGuard.UNCONFIRMED_WAIT_MILLIS);
    }

    @Test
    void shouldUseALongWaitWhileTheControllerConfirms() {
        guard.confirm(new StoreProgress("servers/", 7));

        assertThat(guard.nextWait()).hasMillis(ConfirmedWatchGuard.CONFIRMED_WAIT_MILLIS);
    }

    @Test
    void shouldIgnoreTheProgressOfAnotherPrefix() {
        guard.confirm(new StoreProgress("op/", 7));

        assertThat(guard.nextWait()).hasMillis(ConfirmedWatchGuard.UNCONFIRMED_WAIT_MILLIS);
    }

    @Test
    void shouldGiveUpAWatchThatMissedWhatTheControllerRead() {
        long startNanos = nowNanos;
        guard.confirm(new StoreProgress("servers/", 8));
        advance(ConfirmedWatchGuard.MAX_LAG_MILLIS);

        assertThat(guard.isOverdue(7, startNanos)).isTrue();
        assertThat(guard.isOverdue(8, startNanos)).isFalse();
    }

    @Test
    void shouldConfirmTwiceWithinTheConfirmationTimeoutAsController() {
        isController = true;

        assertThat(2 * guard.nextWait().toMillis()).isLessThan(ConfirmedWatchGuard.CONFIRMATION_TIMEOUT_MILLIS);
    }

    @Test
    void shouldGiveAWatchTimeToReceiveWhatTheControllerReadBeforeItBegan() {
        guard.confirm(new StoreProgress("servers/", 8));
        advance(ConfirmedWatchGuard.MAX_LAG_MILLIS);
        long startNanos = nowNanos;

        assertThat(guard.isOverdue(7, startNanos)).isFalse();
        advance(ConfirmedWatchGuard.MAX_LAG_MILLIS);
        assertThat(guard.isOverdue(7, startNanos)).isTrue();
    }

    @Test
    void shouldGiveAWatchTimeToReceiveWhatTheControllerJustRead() {
        guard.confirm(new StoreProgress("servers/", 8));

        assertThat(guard.isOverdue(7, nowNanos)).isFalse();
    }

    /** Guards against incident DENIED: each newer report let a router that missed a revision count as up to date. */
    @Test
    void shouldBeBehindAMissedRevisionAlthoughNewerOnesAreReportedMoreOftenThanTheLag() {
        guard.recordRevision(7);
        guard.confirm(new StoreProgress("servers/", 8));

        reportNewerRevisionsWithinTheLag(8);

        assertThat(guard.isBehind(7)).isTrue();
    }

    @Test
    void shouldGiveUpAWatchThatMissedARevisionAlthoughNewerOnesAreReportedMoreOftenThanTheLag() {
        long startNanos = nowNanos;
        guard.recordRevision(7);
        guard.confirm(new StoreProgress("servers/", 8));

        reportNewerRevisionsWithinTheLag(8);

        assertThat(guard.isOverdue(7, startNanos)).isTrue();
    }

    /** Guards against listings by routers that keep up with the controller. */
    @Test
    void shouldNotBeBehindWhileEachReportedRevisionIsReachedWithinTheLag() {
        for (long revision = 8; revision < 20; revision++) {
            guard.confirm(new StoreProgress("servers/", revision));
            advance(ConfirmedWatchGuard.MAX_LAG_MILLIS - 1);

            assertThat(guard.isBehind(revision - 1)).isFalse();
            guard.recordRevision(revision);
        }
    }

    private void reportNewerRevisionsWithinTheLag(long revision) {
        for (long newer = revision + 1; newer <= revision + 10; newer++) {
            advance(ConfirmedWatchGuard.MAX_LAG_MILLIS - 1);
            guard.confirm(new StoreProgress("servers/", newer));
        }
    }

    @Test
    void shouldGiveUpALongWatchOnceTheConfirmationTimeoutIsOver() {
        guard.confirm(new StoreProgress("servers/", 7));
        long startNanos = nowNanos;
        advance(ConfirmedWatchGuard.CONFIRMATION_TIMEOUT_MILLIS - 1);
        assertThat(guard.isOverdue(7, startNanos)).isFalse();

        advance(1);

        assertThat(guard.isOverdue(7, startNanos)).isTrue();
    }

    @Test
    void shouldPublishTheRevisionThatItsOwnWatchReached() {
        guard.recordRevision(9);

        assertThat(published).containsExactly(new StoreProgress("servers/", 9));
    }

    @Test
    void shouldBeCurrentWhenTheControllerHasReadNoFurther() {
        guard.recordRevision(7);

        guard.confirm(new StoreProgress("servers/", 7));

        assertThat(currentTimes).hasSize(2);
    }

    @Test
    void shouldNotBeCurrentWhenTheControllerHasReadFurther() {
        guard.recordRevision(7);

        guard.confirm(new StoreProgress("servers/", 8));

        assertThat(currentTimes).hasSize(1);
    }

    @Test
    void shouldSayWhenTheViewWasKnownToBeComplete() {
        guard.recordRevision(7);
        advance(300);

        guard.confirm(new StoreProgress("servers/", 7));

        assertThat(currentTimes).containsExactly(50 * MILLIS, 350 * MILLIS);
    }

    /** Guards against ages that lie: a router lacked changes of 6 s while its log said that its view was current. */
    @Test
    void shouldAgeFromTheOldestMissedReportWhenNewerOnesFollow() {
        guard.recordRevision(7);
        guard.confirm(new StoreProgress("servers/", 8));

        reportNewerRevisionsWithinTheLag(8);

        assertThat(guard.ageMillis()).isEqualTo(10 * (ConfirmedWatchGuard.MAX_LAG_MILLIS - 1));
    }

    @Test
    void shouldAgeFromTheOldestMissedReportWhenOnlySomeOfThemAreReached() {
        guard.recordRevision(7);
        guard.confirm(new StoreProgress("servers/", 8));
        advance(100);
        guard.confirm(new StoreProgress("servers/", 9));
        advance(200);

        guard.recordRevision(8);

        assertThat(guard.ageMillis()).isEqualTo(300);
        assertThat(guard.isBehind(8)).isFalse();
        advance(ConfirmedWatchGuard.MAX_LAG_MILLIS - 200);
        assertThat(guard.isBehind(8)).isTrue();
    }

    @Test
    void shouldNotBecomeCurrentByAReportOfWhatIsHeldWhileAnotherIsMissed() {
        guard.recordRevision(7);
        guard.confirm(new StoreProgress("servers/", 8));
        advance(300);

        guard.confirm(new StoreProgress("servers/", 7));

        assertThat(guard.ageMillis()).isEqualTo(300);
    }
}
