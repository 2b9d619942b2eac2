package org.daisyscale.router.internal.platform;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.daisyscale.core.error.DaisyscaleException;
import org.daisyscale.core.platform.VersionedValue;
import org.daisyscale.router.internal.duty.Backoff;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.tinylog.Logger;

/**
 * Runs the duty {@code platform-watch}: watches the map and the configuration, and reads both after each start of the
 * watch, so that no change between two watches is missed. When changes arrive faster than they are published and their
 * ring is full, the watch is restarted. Not thread-safe; confined to the duty's thread.
 */
final class PlatformWatchDuty {
    private static final int RING_CAPACITY = 64;
    private static final long MIN_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 2_000;
    private static final Duration WAIT = Duration.ofMillis(200);

    private final PlatformContext context;
    private final Backoff backoff = new Backoff(MIN_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);

    PlatformWatchDuty(PlatformContext context) {
        this.context = context;
    }

    /** Watches until the watch is lost or fails, then waits for the backoff delay. */
    void step() throws InterruptedException {
        Ring<VersionedValue> changes = new ArrayRing<>("platform-changes", RING_CAPACITY);
        AtomicBoolean isLost = new AtomicBoolean();
        try (AutoCloseable watch = open(changes, isLost)) {
            readBoth();
            backoff.reset();
            publishUntilLost(changes, isLost);
        } catch (DaisyscaleException e) {
            readAfterFailure(e);
        } catch (InterruptedException e) {
            throw e;
        } catch (Exception e) {
            Logger.error(e, "platform-watch-failed");
        }
        Thread.sleep(backoff.nextMillis());
    }

    private AutoCloseable open(Ring<VersionedValue> changes, AtomicBoolean isLost) {
        return context.platform()
                .watch(
                        context.keys().watched(),
                        change -> {
                            if (!changes.offer(change)) {
                                isLost.set(true);
                            }
                        },
                        () -> isLost.set(true));
    }

    private void readBoth() throws InterruptedException {
        context.reader().read(context.mapType());
        context.reader().read(context.configurationType());
    }

    private void readAfterFailure(DaisyscaleException failure) throws InterruptedException {
        context.reader().reportFailure(failure);
        try {
            readBoth();
        } catch (DaisyscaleException e) {
            context.reader().reportFailure(e);
        }
    }

    private void publishUntilLost(Ring<VersionedValue> changes, AtomicBoolean isLost) throws InterruptedException {
        while (!isLost.get()) {
            Optional<VersionedValue> change = changes.poll(WAIT);
            if (change.isPresent()) {
                publish(change.get());
            }
        }
    }

    private void publish(VersionedValue change) throws InterruptedException {
        StoredValueType<?> type =
                change.key().equals(context.keys().map()) ? context.mapType() : context.configurationType();
        try {
            context.reader().publish(type, change);
        } catch (PlatformException e) {
            context.reader().reportFailure(e);
        }
    }
}
