package org.daisyscale.router.internal.serving;

import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.daisyscale.core.keys.KeyAction;
import org.daisyscale.core.keys.KeyEvent;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.core.platform.CoordinationStore.Change;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.WriteResult;
import org.daisyscale.core.platform.WriteOutcome;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.internal.ring.Ring;
import org.daisyscale.router.serving.StoreException;

/**
 * Reads and writes key maps. A write that was not accepted, or whose outcome is unknown, is followed by a read. Not
 * thread-safe; confined to one thread.
 */
final class KeyMapDuty {
    private static final Duration MAX_WAIT = Duration.ofSeconds(1);
    /** Delay before a failed read is retried, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 150;
    /** Longest delay before a failed read is retried, in milliseconds: refused calls cost as much as others. */
    private static final long MAX_RETRY_DELAY_MILLIS = 1_200;

    private final CoordinationStore store;
    private final Ring<KeyAction> mapActions;
    private final Consumer<KeyEvent> keyEvents;
    private long retryDelayMillis = RETRY_DELAY_MILLIS;

    KeyMapDuty(CoordinationStore store, Ring<KeyAction> mapActions, Consumer<KeyEvent> keyEvents) {
        this.store = store;
        this.mapActions = mapActions;
        this.keyEvents = keyEvents;
    }

    /** Waits for a read or write, and performs it. */
    void runStep() throws InterruptedException {
        Optional<KeyAction> action = mapActions.poll(MAX_WAIT);
        if (action.isEmpty()) {
            return;
        }
        if (action.get() instanceof KeyAction.WriteMap write) {
            write(write);
        } else if (action.get() instanceof KeyAction.ReadMap read) {
            read(read.service());
        }
    }

    private void write(KeyAction.WriteMap write) throws InterruptedException {
        String service = write.map().service();
        WriteResult result;
        try {
            byte[] value = KeyMapCodec.write(write.map());
            result = store.write(new Change(StoreKeys.keyMap(service), write.expectedRevision(), value, 0));
        } catch (StoreException e) {
            EventLog.info("key-map-turned-away", "service=" + service + " reason=" + e.detail());
            result = new WriteResult(WriteOutcome.UNKNOWN, 0);
        }
        EventLog.info(
                "key-map-written",
                "service=%s version=%d expectedRevision=%d outcome=%s revision=%d"
                        .formatted(
                                service,
                                write.map().version(),
                                write.expectedRevision(),
                                result.outcome(),
                                result.revision()));
        if (result.outcome() == WriteOutcome.ACCEPTED) {
            keyEvents.accept(new KeyEvent.MapWritten(write.map(), result.revision()));
        } else {
            keyEvents.accept(new KeyEvent.MapWriteFailed(service));
            read(service);
        }
    }

    private void read(String service) throws InterruptedException {
        try {
            Optional<Item> item = store.get(StoreKeys.keyMap(service));
            retryDelayMillis = RETRY_DELAY_MILLIS;
            keyEvents.accept(
                    item.isPresent()
                            ? new KeyEvent.MapRead(
                                    KeyMapCodec.read(item.get().value()),
                                    item.get().revision())
                            : new KeyEvent.MapAbsent(service));
        } catch (StoreException | UncheckedIOException e) {
            EventLog.warn("key-map-unread", "service=" + service + " reason=" + e.getMessage());
            Thread.sleep(retryDelayMillis);
            retryDelayMillis = Math.min(2 * retryDelayMillis, MAX_RETRY_DELAY_MILLIS);
            mapActions.offer(new KeyAction.ReadMap(service));
        }
    }
}
