package org.daisyscale.router.internal.assembly;

import org.daisyscale.core.Action;

/**
 * The duties that read, write and watch the platform's service. Implementations are thread-safe and never block in
 * {@link #handle}; each write produces an event, even if it could not be attempted.
 */
public interface PlatformLink extends AutoCloseable {

    /** Accepts a read, a write or a change of the control lease. */
    void handle(Action action);

    @Override
    void close();
}
