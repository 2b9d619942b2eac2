package org.daisyscale.router.internal.serving;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.serving.StoreException;

/**
 * Polls the store for key maps while this router receives none from the controller. It doesn't poll soon after another
 * duty listed the maps, nor while no router controls the keys, when no map changes. Not thread-safe; confined to one
 * thread, except {@link #recordListed}.
 */
final class KeyMapPollDuty {
    /** Interval between polls, in milliseconds: short enough to find a moved range before callers time out. */
    static final long POLL_INTERVAL_MILLIS = 600;
    /** Interval between polls until a key map is known, in milliseconds: without a map no key can be served. */
    private static final long INITIAL_POLL_INTERVAL_MILLIS = 300;
    /** Interval between checks, in milliseconds: keeps a poll from being much later than its interval. */
    private static final long CHECK_MILLIS = 100;
    /** Number of polls at the initial interval: limited because a fleet without sharded services has no key map. */
    private static final int MAX_INITIAL_POLLS = 15;
    /** Longest pause after failed polls, as a factor of the interval: refused calls cost as much as others. */
    private static final int MAX_PAUSE_FACTOR = 4;

    private final CoordinationStore store;
    private final BooleanSupplier isReceivingKeyMaps;
    private final BooleanSupplier isControlled;
    private final Consumer<ServingEvent> servingEvents;
    private final LongSupplier clockNanos;
    private volatile boolean isMapKnown;
    private volatile boolean hasListed;
    private volatile long readNanos;
    private int pollCount;
    private int pauseFactor = 1;

    /**
     * Creates the duty.
     *
     * @param isReceivingKeyMaps whether this router receives each change of the key maps
     * @param isControlled whether some router controls the keys, as far as this router knows
     * @param clockNanos the monotonic clock, in nanoseconds
     */
    KeyMapPollDuty(
            CoordinationStore store,
            BooleanSupplier isReceivingKeyMaps,
            BooleanSupplier isControlled,
            Consumer<ServingEvent> servingEvents,
            LongSupplier clockNanos) {
        this.store = store;
        this.isReceivingKeyMaps = isReceivingKeyMaps;
        this.isControlled = isControlled;
        this.servingEvents = servingEvents;
        this.clockNanos = clockNanos;
        this.readNanos = clockNanos.getAsLong();
    }

    /** Publishes the key maps that another duty listed. Thread-safe. */
    void recordListed(List<Item> items) {
        hasListed = true;
        readNanos = clockNanos.getAsLong();
        items.forEach(this::publish);
    }

    /** Reads the key maps if that is due, and waits until the next check. */
    void runStep() throws InterruptedException {
        pollIfDue();
        Thread.sleep(CHECK_MILLIS);
    }

    /** Reads the key maps if the controller doesn't send them and the last read is an interval ago. */
    void pollIfDue() {
        if (isReceivingKeyMaps.getAsBoolean()) {
            readNanos = clockNanos.getAsLong();
        } else if (clockNanos.getAsLong() - readNanos >= intervalNanos() && mayHaveChanged()) {
            pollCount++;
            read();
        }
    }

    private boolean mayHaveChanged() {
        return isControlled.getAsBoolean() || !hasListed;
    }

    private long intervalNanos() {
        boolean isInitial = !isMapKnown && pollCount < MAX_INITIAL_POLLS;
        return pauseFactor * (isInitial ? INITIAL_POLL_INTERVAL_MILLIS : POLL_INTERVAL_MILLIS) * 1_000_000L;
    }

    private void read() {
        try {
            recordListed(store.list(StoreKeys.KEY_MAPS).items());
            pauseFactor = 1;
        } catch (StoreException e) {
            EventLog.debug("key-maps-unread", e.detail());
            readNanos = clockNanos.getAsLong();
            pauseFactor = Math.min(2 * pauseFactor, MAX_PAUSE_FACTOR);
        }
    }

    private void publish(Item item) {
        try {
            servingEvents.accept(new ServingEvent.KeyMapChanged(KeyMapCodec.read(item.value())));
            isMapKnown = true;
        } catch (RuntimeException e) {
            EventLog.warn("key-map-unreadable", "key=" + item.key() + " revision=" + item.revision(), e);
        }
    }
}
