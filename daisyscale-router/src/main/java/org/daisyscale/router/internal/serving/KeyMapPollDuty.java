package org.daisyscale.router.internal.serving;

import java.util.function.Consumer;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.serving.StoreException;

/**
 * Polls the store for key maps while this router receives none from the controller. Not thread-safe; confined to one
 * thread.
 */
final class KeyMapPollDuty {
    /** Interval between polls, in milliseconds: short enough to find a moved range before callers time out. */
    private static final long POLL_INTERVAL_MILLIS = 600;
    /** Interval between polls until a key map is known, in milliseconds: without a map no key can be served. */
    private static final long INITIAL_POLL_INTERVAL_MILLIS = 300;
    /** Number of polls at the initial interval: limited because a fleet without sharded services has no key map. */
    private static final int MAX_INITIAL_POLLS = 15;

    private final CoordinationStore store;
    private final ControllerLink controller;
    private final Consumer<ServingEvent> servingEvents;
    private boolean isMapKnown;
    private int pollCount;

    KeyMapPollDuty(CoordinationStore store, ControllerLink controller, Consumer<ServingEvent> servingEvents) {
        this.store = store;
        this.controller = controller;
        this.servingEvents = servingEvents;
    }

    /** Reads the key maps if the controller does not send them, and waits for the interval. */
    void runStep() throws InterruptedException {
        boolean isInitial = !isMapKnown && pollCount < MAX_INITIAL_POLLS;
        if (!controller.isReceivingKeyMaps()) {
            pollCount++;
            read();
        }
        Thread.sleep(isInitial ? INITIAL_POLL_INTERVAL_MILLIS : POLL_INTERVAL_MILLIS);
    }

    private void read() {
        try {
            store.list(StoreKeys.KEY_MAPS).items().forEach(this::publish);
        } catch (StoreException e) {
            EventLog.debug("key-maps-unread", e.detail());
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
