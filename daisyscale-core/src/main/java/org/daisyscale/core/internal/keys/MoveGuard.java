package org.daisyscale.core.internal.keys;

import org.daisyscale.core.serving.KeyAssignment;

/**
 * Decides whether a range may move away from its owner. A stored move has to say what grants to the owner may still do,
 * since the next controller knows nothing else about them. Not thread-safe; confined to the core thread.
 */
interface MoveGuard {

    /**
     * Returns whether it is known which grants of {@code assignment} may still take effect at its owner; otherwise asks
     * the owner.
     */
    boolean mayMove(KeyAssignment assignment);

    /** Returns for how long a grant of {@code assignment} to its owner may still take effect, in milliseconds. */
    long lateGrantMillis(KeyAssignment assignment);
}
