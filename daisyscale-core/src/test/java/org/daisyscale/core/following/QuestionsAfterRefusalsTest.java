package org.daisyscale.core.following;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a follower that stays silent for seconds, because another question was answered in vain before. */
class QuestionsAfterRefusalsTest {
    private static final long MILLIS = 1_000_000L;
    private static final ViewVersion HELD = new ViewVersion(10, 111);
    private static final Teller FIRST = new Teller("r1", 1);
    private static final ViewUpdate REFUSED =
            new ViewUpdate("op/", new ViewVersion(20, 222), true, List.of(), Set.of(), List.of());

    private long nowNanos = 77 * MILLIS;
    private final ViewFollower follower = new ViewFollower(new SplittableRandom(1), 200, false, nowNanos);

    @BeforeEach
    void askInVainUntilThePauseIsLong() {
        follower.next(false, nowNanos);
        follower.recordRead(HELD, 0, true, nowNanos);
        for (int count = 0; count < 6; count++) {
            hear(FIRST, REFUSED.version());
            follower.next(false, nowNanos);
            follower.recordRefused(UpdateResult.OLDER, REFUSED, nowNanos);
        }
        assertThat(isSaying()).isFalse();
    }

    private void hear(Teller teller, ViewVersion version) {
        follower.hear(teller, version, 0, nowNanos);
    }

    private boolean isSaying() {
        return follower.next(false, nowNanos).holding().isPresent();
    }

    @Test
    void shouldSayAtOnceToANewControllerWhatIsHeld() {
        hear(new Teller("r2", 1), new ViewVersion(30, 333));

        assertThat(isSaying()).isTrue();
    }

    @Test
    void shouldSayAtOnceOnANewConnectionWhatIsHeld() {
        hear(new Teller("r1", 2), new ViewVersion(30, 333));

        assertThat(isSaying()).isTrue();
    }

    @Test
    void shouldAcknowledgeAnAppliedUpdateAtOnce() {
        follower.recordApplied(new ViewVersion(30, 333));

        assertThat(isSaying()).isTrue();
    }

    @Test
    void shouldSayAtOnceThatAnotherVersionIsHeldAfterARead() {
        follower.recordRead(new ViewVersion(30, 333), 1, true, nowNanos);

        assertThat(isSaying()).isTrue();
    }

    @Test
    void shouldAskAfterTheUsualTimeAboutAGapThatIsNoticedAfterTheSameItemsWereReported() {
        hear(FIRST, new ViewVersion(21, HELD.digest()));
        hear(FIRST, new ViewVersion(30, 333));
        nowNanos += ViewFollower.ASK_AGAIN_MILLIS * MILLIS;
        hear(FIRST, new ViewVersion(30, 333));

        assertThat(isSaying()).isTrue();
    }
}
