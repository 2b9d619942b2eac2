package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.core.serving.ServingEvent;
import org.junit.jupiter.api.Test;

class KeyMapPollDutyTest {
    private static final long MILLI = 1_000_000L;

    private final SharedStore store = new SharedStore(0);
    private final List<ServingEvent> events = new ArrayList<>();
    private final AtomicLong nowNanos = new AtomicLong();
    private boolean isReceiving;
    private boolean isControlled = true;
    private final KeyMapPollDuty duty =
            new KeyMapPollDuty(store, () -> isReceiving, () -> isControlled, events::add, nowNanos::get);
    private final KeyMapListingStore listing = new KeyMapListingStore(store, duty::recordListed);

    private int callsWithin(long millis) {
        for (long passed = 0; passed < millis; passed += 100) {
            nowNanos.addAndGet(100 * MILLI);
            duty.pollIfDue();
        }
        return store.takeCallCount();
    }

    private void putMap() {
        KeyMap map = new KeyMap("stock", 1, 0, 5, List.of());
        store.put(StoreKeys.keyMap("stock"), new String(KeyMapCodec.write(map), StandardCharsets.UTF_8));
    }

    /** A router that starts listed the routers and the key maps with one call each. */
    @Test
    void shouldTakeTheKeyMapsFromTheListingOfTheRouters() {
        putMap();
        store.put(StoreKeys.router("r1"), "entry");

        assertThat(listing.list(StoreKeys.PREFIX).items())
                .extracting(item -> item.key())
                .containsExactly(StoreKeys.router("r1"));

        assertThat(events).hasSize(1).first().isInstanceOf(ServingEvent.KeyMapChanged.class);
        assertThat(store.takeCallCount()).isEqualTo(1);
        assertThat(callsWithin(KeyMapPollDuty.POLL_INTERVAL_MILLIS - 100)).isZero();
    }

    /** No map changes without a controller, and each router polled on until there was one. */
    @Test
    void shouldNotPollWhileNoRouterControlsTheKeys() {
        listing.list(StoreKeys.PREFIX);
        store.takeCallCount();
        isControlled = false;

        assertThat(callsWithin(5_000)).isZero();

        isControlled = true;
        assertThat(callsWithin(2 * KeyMapPollDuty.POLL_INTERVAL_MILLIS)).isPositive();
    }

    @Test
    void shouldPollWithinItsIntervalOnceTheConnectionToTheControllerIsLost() {
        putMap();
        listing.list(StoreKeys.PREFIX);
        isReceiving = true;
        callsWithin(10_000);
        isReceiving = false;

        assertThat(callsWithin(KeyMapPollDuty.POLL_INTERVAL_MILLIS)).isEqualTo(1);
    }

    @Test
    void shouldPollLessOftenWhileTheStoreRefuses() {
        store.setReachable(false);

        assertThat(callsWithin(20_000)).isLessThanOrEqualTo(20);
    }
}
