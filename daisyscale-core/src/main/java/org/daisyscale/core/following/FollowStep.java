package org.daisyscale.core.following;

import java.util.Optional;

/**
 * What a follower does next. Immutable.
 *
 * @param holding what to tell the teller about the view that is held here; empty for nothing
 * @param read the read to start, which replaces a pending one; empty for none
 * @param waitMillis how long to wait for an event before the next step, in milliseconds
 */
public record FollowStep(Optional<Holding> holding, Optional<ReadRequest> read, long waitMillis) {

    /**
     * What a follower holds, which acknowledges updates up to it and asks for the difference to the teller's view.
     * Immutable.
     *
     * @param teller whom to tell
     * @param version the version that is held
     * @param needsWhole whether a difference did not apply, so that the whole view is needed
     */
    public record Holding(Teller teller, ViewVersion version, boolean needsWhole) {}
}
