package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.daisyscale.core.peer.PeerMessage.StoreProgress;
import org.junit.jupiter.api.Test;

class FollowedWatchTest {
    private static final long MILLIS = 1_000_000L;

    private final List<StoreProgress> published = new ArrayList<>();
    private long nowNanos = 50 * MILLIS;
    private int currentCount;
    private boolean isController;
    private final FollowedWatch watch =
            new FollowedWatch("servers/", published::add, () -> isController, () -> currentCount++, () -> nowNanos);

    private void pass(long millis) {
        nowNanos += millis * MILLIS;
    }

    @Test
    void shouldWaitShortlyWhenNobodyConfirmsWhatIsKnown() {
        assertThat(watch.nextWait()).hasMillis(FollowedWatch.SHORT_WAIT_MILLIS);
    }

    @Test
    void shouldWaitLongWhileTheControllerConfirmsWhatIsKnown() {
        watch.confirm(new StoreProgress("servers/", 7));

        assertThat(watch.nextWait()).hasMillis(FollowedWatch.LONG_WAIT_MILLIS);
    }

    @Test
    void shouldPassOverTheProgressOfAnotherPrefix() {
        watch.confirm(new StoreProgress("op/", 7));

        assertThat(watch.nextWait()).hasMillis(FollowedWatch.SHORT_WAIT_MILLIS);
    }

    @Test
    void shouldGiveUpAWatchThatMissedWhatTheControllerSaw() {
        long startNanos = nowNanos;
        watch.confirm(new StoreProgress("servers/", 8));
        pass(FollowedWatch.LAG_MILLIS);

        assertThat(watch.isOverdue(7, startNanos)).isTrue();
        assertThat(watch.isOverdue(8, startNanos)).isFalse();
    }

    @Test
    void shouldTellTheOtherRoutersTwiceInTheTimeTheyWait() {
        isController = true;

        assertThat(2 * watch.nextWait().toMillis()).isLessThan(FollowedWatch.SILENCE_MILLIS);
    }

    @Test
    void shouldGiveAWatchTimeToHearWhatTheControllerSawBeforeItBegan() {
        watch.confirm(new StoreProgress("servers/", 8));
        pass(FollowedWatch.LAG_MILLIS);
        long startNanos = nowNanos;

        assertThat(watch.isOverdue(7, startNanos)).isFalse();
        pass(FollowedWatch.LAG_MILLIS);
        assertThat(watch.isOverdue(7, startNanos)).isTrue();
    }

    @Test
    void shouldGiveAWatchTimeToHearWhatTheControllerSaw() {
        watch.confirm(new StoreProgress("servers/", 8));

        assertThat(watch.isOverdue(7, nowNanos)).isFalse();
    }

    @Test
    void shouldGiveUpALongWatchOnceTheControllerFallsSilent() {
        watch.confirm(new StoreProgress("servers/", 7));
        long startNanos = nowNanos;
        pass(FollowedWatch.SILENCE_MILLIS - 1);
        assertThat(watch.isOverdue(7, startNanos)).isFalse();

        pass(1);

        assertThat(watch.isOverdue(7, startNanos)).isTrue();
    }

    @Test
    void shouldTellTheOtherRoutersWhatItsOwnWatchReached() {
        watch.reached(9);

        assertThat(published).containsExactly(new StoreProgress("servers/", 9));
    }

    @Test
    void shouldBeCurrentWhenTheControllerHasSeenNoMore() {
        watch.reached(7);

        watch.confirm(new StoreProgress("servers/", 7));

        assertThat(currentCount).isEqualTo(2);
    }

    @Test
    void shouldNotBeCurrentWhenTheControllerHasSeenMore() {
        watch.reached(7);

        watch.confirm(new StoreProgress("servers/", 8));

        assertThat(currentCount).isEqualTo(1);
    }
}
