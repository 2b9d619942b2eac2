package org.daisyscale.router.internal.platform;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.daisyscale.core.Action;
import org.daisyscale.core.error.DaisyscaleException;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;

/**
 * Runs the duty {@code platform-read}: reads the map or the configuration on request. A request is merged with a
 * pending one of the same kind, so that the ring never overflows. {@link #request} is thread-safe; {@link #step} is
 * confined to the duty's thread.
 */
final class PlatformReadDuty {
    private static final Duration WAIT = Duration.ofSeconds(10);
    private static final int READ_ACTION_COUNT = 2;

    private final PlatformContext context;
    private final Ring<Action> actions = new ArrayRing<>("platform-read", READ_ACTION_COUNT);
    private final Set<Action> pending = ConcurrentHashMap.newKeySet();

    PlatformReadDuty(PlatformContext context) {
        this.context = context;
    }

    /** Requests the read that {@code action} describes. */
    void request(Action action) {
        if (pending.add(action)) {
            actions.offer(action);
        }
    }

    /** Performs the next read, if one arrives in time. */
    void step() throws InterruptedException {
        Optional<Action> next = actions.poll(WAIT);
        if (next.isEmpty()) {
            return;
        }
        pending.remove(next.get());
        StoredValueType<?> type =
                next.get() instanceof Action.ReadMap ? context.mapType() : context.configurationType();
        try {
            context.reader().read(type);
        } catch (DaisyscaleException e) {
            context.reader().reportFailure(e);
        }
    }
}
