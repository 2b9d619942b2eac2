package org.daisyscale.core.internal.keys;

import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;

/**
 * A call for a range that has not been answered yet. Immutable.
 *
 * @param assignment the range
 * @param owner the server that is called
 * @param kind the purpose of the call
 * @param term the controller's term in which the call was made
 */
record PendingCall(KeyAssignment assignment, Owner owner, Kind kind, int term) {

    /** The purpose of a call. */
    enum Kind {
        /** Gives the range to its owner or renews its grant. */
        GRANT,
        /** Grants the range to its owner once more; the answer proves that no earlier grant takes effect late. */
        PROOF,
        /** Takes the range from a predecessor. */
        RELEASE
    }

    boolean isGrant() {
        return kind != Kind.RELEASE;
    }
}
