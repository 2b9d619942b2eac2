package org.daisyscale.router.internal.following;

import static org.assertj.core.api.Assertions.assertThat;

import org.daisyscale.router.serving.StoreException;
import org.junit.jupiter.api.Test;

class StoreReachabilityTest {
    private static final long MILLIS = 1_000_000L;
    private static final long MIN_OUTAGE_MILLIS = 1_000;
    private static final long GRACE_MILLIS = 2_000;

    private long nowNanos = 77 * MILLIS;
    private final StoreReachability reachability = new StoreReachability("servers/", MIN_OUTAGE_MILLIS, () -> nowNanos);

    private void advance(long millis) {
        nowNanos += millis * MILLIS;
    }

    private void loseFor(long millis) {
        reachability.recordFailure(new StoreException(StoreException.Code.UNREACHABLE, "the store is out", null), 1, 0);
        advance(millis);
        reachability.recordResponse(1);
    }

    private boolean hasJustRecovered() {
        return reachability.hasJustRecovered(GRACE_MILLIS);
    }

    @Test
    void shouldGiveGraceAfterALongOutageUntilItIsOver() {
        loseFor(6_000);

        advance(GRACE_MILLIS - 1);
        assertThat(hasJustRecovered()).isTrue();
        advance(1);
        assertThat(hasJustRecovered()).isFalse();
    }

    @Test
    void shouldGiveNoGraceAfterAShortOutage() {
        loseFor(MIN_OUTAGE_MILLIS - 1);

        assertThat(hasJustRecovered()).isFalse();
    }

    /** Guards against servers that are dropped at once because one more call failed just after an outage. */
    @Test
    void shouldKeepTheGraceAfterALongOutageWhenAShortOneFollows() {
        loseFor(6_000);
        advance(100);

        loseFor(50);

        assertThat(hasJustRecovered()).isTrue();
    }

    @Test
    void shouldNotExtendTheGraceByShortOutages() {
        loseFor(6_000);

        for (int count = 0; count < 5; count++) {
            advance(400);
            loseFor(50);
        }

        assertThat(hasJustRecovered()).isFalse();
    }

    @Test
    void shouldGiveGraceAnewAfterAnotherLongOutage() {
        loseFor(6_000);
        advance(1_500);

        loseFor(MIN_OUTAGE_MILLIS);
        advance(GRACE_MILLIS - 1);

        assertThat(hasJustRecovered()).isTrue();
    }
}
