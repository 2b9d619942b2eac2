package org.daisyscale.core.following;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.daisyscale.core.serving.EventTime;
import org.junit.jupiter.api.Test;

/** Guards against changes that seem younger than they are. */
class TimeOfAChangeTest {
    private static final long MILLI = 1_000_000L;
    private static final Teller CONTROLLER = new Teller("r1", 1);

    private final ViewFollower follower = new ViewFollower(new SplittableRandom(1), 200, false, 0);

    @Test
    void shouldNotTakeAChangeForYoungerThanTheProofOfTheControllersViewBecauseThisRouterHasJustStarted() {
        long heardNanos = 200 * MILLI;
        long provenAgeMillis = 1_700;
        follower.next(false, 100 * MILLI);
        follower.hear(CONTROLLER, new ViewVersion(7, 70), provenAgeMillis, heardNanos);
        follower.recordApplied(new ViewVersion(7, 70));

        EventTime changedAt = follower.changedAt();

        // The view was proved 1.7 s before the report, so what comes next may be that old.
        assertThat(changedAt.mayBePast(provenAgeMillis, heardNanos)).isTrue();
    }
}
