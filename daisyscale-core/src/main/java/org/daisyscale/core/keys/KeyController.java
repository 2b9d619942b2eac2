package org.daisyscale.core.keys;

import java.util.List;
import org.daisyscale.core.internal.keys.KeyControllers;

/**
 * Decides which server owns which keys. Each decision is a deterministic function of the state, an event and the time.
 * Two servers never hold a key at the same time: a range is granted to its next owner only when its predecessors have
 * released it or their grants have expired. The controller acts only while its lease is valid. Not thread-safe.
 *
 * <pre>{@code
 * KeyController controller = KeyController.create(settings);
 * List<KeyAction> actions = controller.handle(new KeyEvent.LeaseRenewed(validUntilNanos), System.nanoTime());
 * }</pre>
 */
public interface KeyController {

    /**
     * Handles {@code events}, which occurred in this order, at {@code nowNanos} of the monotonic clock and returns the
     * actions to take, in order. Plans once for all of them, so that a controller that is behind catches up.
     */
    List<KeyAction> handle(List<KeyEvent> events, long nowNanos);

    /** Handles {@code event} at {@code nowNanos} of the monotonic clock and returns the actions to take, in order. */
    default List<KeyAction> handle(KeyEvent event, long nowNanos) {
        return handle(List.of(event), nowNanos);
    }

    /**
     * Returns when {@link KeyEvent.TimePassed} is due next, in nanoseconds of the monotonic clock;
     * {@link Long#MAX_VALUE} while this router doesn't control the keys.
     */
    long nextDueNanos();

    /** Returns a controller that holds no lease and knows no servers or maps. */
    static KeyController create(KeySettings settings) {
        return KeyControllers.create(settings);
    }
}
