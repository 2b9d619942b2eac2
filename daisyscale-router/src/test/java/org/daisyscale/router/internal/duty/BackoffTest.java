package org.daisyscale.router.internal.duty;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class BackoffTest {

    @Test
    void shouldStayWithinItsBoundsForAnyNumberOfAttempts() {
        Backoff backoff = new Backoff(50, 400);

        assertThat(backoff.nextMillis()).isBetween(25L, 75L);
        assertThat(backoff.nextMillis()).isBetween(50L, 150L);
        assertThat(backoff.nextMillis()).isBetween(100L, 300L);
        for (int attempt = 4; attempt < 1_000; attempt++) {
            assertThat(backoff.nextMillis()).isBetween(200L, 600L);
        }
    }

    @Test
    void shouldRestartWithTheShortestDelayAfterAReset() {
        Backoff backoff = new Backoff(50, 400);
        backoff.nextMillis();
        backoff.nextMillis();

        backoff.reset();

        assertThat(backoff.nextMillis()).isBetween(25L, 75L);
    }
}
