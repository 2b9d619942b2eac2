package org.daisyscale.core.keys;

import org.daisyscale.core.serving.KeyAssignment.Owner;
import org.daisyscale.core.serving.KeyMap;

/** What the shell has to do for the control of keys. Each action is immutable. */
public sealed interface KeyAction {

    /**
     * Grant a range to a server, or renew the grant.
     *
     * @param callId names the call in its end
     * @param owner the server
     * @param firstKey the first key
     * @param lastKey the last key, inclusive
     * @param fence the fencing token
     * @param isRenewal whether the call must reach the process that took this fence before, or not be made
     * @param holdMillis how long the grant lasts, in milliseconds
     * @param handover what the predecessor gave at its release; empty for nothing
     */
    record SendGrant(
            long callId,
            Owner owner,
            int firstKey,
            int lastKey,
            long fence,
            boolean isRenewal,
            long holdMillis,
            String handover)
            implements KeyAction {}

    /**
     * Take a range from a server.
     *
     * @param callId names the call in its end
     * @param owner the server
     * @param firstKey the first key
     * @param lastKey the last key, inclusive
     * @param fence the fencing token of the grant that follows
     */
    record SendRelease(long callId, Owner owner, int firstKey, int lastKey, long fence) implements KeyAction {}

    /** Write {@code map} if the store's is still at {@code expectedRevision}; 0 for none. */
    record WriteMap(KeyMap map, long expectedRevision) implements KeyAction {}

    /** Tell all routers of {@code map}, which lies in the store. */
    record PublishMap(KeyMap map) implements KeyAction {}

    /** Read the map of {@code service} again. */
    record ReadMap(String service) implements KeyAction {}

    /** A log line. */
    record Report(String event, String detail) implements KeyAction {}
}
