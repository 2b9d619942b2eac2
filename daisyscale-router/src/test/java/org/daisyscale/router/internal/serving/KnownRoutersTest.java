package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class KnownRoutersTest {
    private static final RouterEntry ROUTER = new RouterEntry("r2", "127.0.0.1", 7, 0, 1);
    private static final long LIMIT_NANOS = KnownRouters.UNREGISTERED_MILLIS * 1_000_000L;

    private final KnownRouters routers = new KnownRouters();

    private List<RouterEntry> removeExpired(boolean isConnected, long nowNanos) {
        return routers.removeExpired(id -> isConnected, nowNanos);
    }

    @Test
    void shouldKeepARouterForATimeAfterItsRegistrationEnded() {
        routers.add(ROUTER);
        routers.markUnregistered("r2", 0);

        assertThat(removeExpired(false, LIMIT_NANOS - 1)).isEmpty();
        assertThat(routers.all()).containsExactly(ROUTER);

        assertThat(removeExpired(false, LIMIT_NANOS)).containsExactly(ROUTER);
        assertThat(routers.all()).isEmpty();
    }

    @Test
    void shouldKeepARouterWithoutARegistrationWhileItIsConnected() {
        routers.add(ROUTER);
        routers.markUnregistered("r2", 0);

        assertThat(removeExpired(true, 2 * LIMIT_NANOS)).isEmpty();
        assertThat(removeExpired(false, 3 * LIMIT_NANOS - 1)).isEmpty();

        assertThat(removeExpired(false, 3 * LIMIT_NANOS)).containsExactly(ROUTER);
    }

    @Test
    void shouldKeepARouterThatRegistersAgain() {
        routers.add(ROUTER);
        routers.markUnregistered("r2", 0);
        routers.add(ROUTER);

        assertThat(removeExpired(false, 2 * LIMIT_NANOS)).isEmpty();
        assertThat(routers.all()).containsExactly(ROUTER);
    }

    @Test
    void shouldIgnoreTheEndOfARegistrationOfAnUnknownRouter() {
        routers.markUnregistered("r2", 0);

        assertThat(removeExpired(false, 2 * LIMIT_NANOS)).isEmpty();
    }
}
