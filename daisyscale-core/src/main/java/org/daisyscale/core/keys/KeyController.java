package org.daisyscale.core.keys;

import java.util.List;
import org.daisyscale.core.internal.keys.KeyControllers;

/**
 * Decides which server owns which keys: a deterministic function of its state, an event and the time. Two servers never
 * hold a key at the same time: a range goes on only when its predecessors released it or when nothing granted to them
 * can last any longer. It acts only while its lease lasts. Not safe for use by several threads.
 *
 * <pre>{@code
 * KeyController controller = KeyController.create(settings);
 * List<KeyAction> actions = controller.handle(new KeyEvent.LeaseRenewed(validUntilNanos), System.nanoTime());
 * }</pre>
 */
public interface KeyController {

    /** Decides on {@code event} at {@code nowNanos} of the monotonic clock. */
    List<KeyAction> handle(KeyEvent event, long nowNanos);

    /** When {@link KeyEvent.TimePassed} is due next, in nanoseconds. */
    long nextDueNanos();

    /** A controller that knows nothing yet and controls nothing. */
    static KeyController create(KeySettings settings) {
        return KeyControllers.create(settings);
    }
}
