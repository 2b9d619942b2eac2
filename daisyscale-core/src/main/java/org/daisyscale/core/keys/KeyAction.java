package org.daisyscale.core.keys;

import org.daisyscale.core.serving.KeyAssignment.Owner;
import org.daisyscale.core.serving.KeyMap;

/** An action that the controller of keys requests from its caller. Each action is immutable. */
public sealed interface KeyAction {

    /**
     * Grants a range to a server or renews the grant. Ends with a {@link KeyEvent} of the same call id.
     *
     * @param callId the id of the call
     * @param owner the server
     * @param firstKey the first key
     * @param lastKey the last key, inclusive
     * @param fence the fencing token
     * @param isRenewal whether the call may be sent only to the process that accepted this fence before
     * @param needsProof whether its response must not be a copy of an earlier one; such a grant is not renewed
     * @param holdMillis the hold of the grant, in milliseconds from its arrival at the server
     * @param handover the handover text of the predecessor's release; empty for none
     * @param healthPath the path of the health check by which the owner's process identifies itself; empty for none
     * @param sendBeforeNanos when the call must no longer be sent, by the monotonic clock; it then ends as expired
     */
    record SendGrant(
            long callId,
            Owner owner,
            int firstKey,
            int lastKey,
            long fence,
            boolean isRenewal,
            boolean needsProof,
            long holdMillis,
            String handover,
            String healthPath,
            long sendBeforeNanos)
            implements KeyAction {}

    /**
     * Asks a server to release a range. Ends with a {@link KeyEvent} of the same call id.
     *
     * @param callId the id of the call
     * @param owner the server
     * @param firstKey the first key
     * @param lastKey the last key, inclusive
     * @param fence the fencing token of the grant that follows
     * @param healthPath the path of the health check by which the owner's process identifies itself; empty for none
     * @param sendBeforeNanos when the call must no longer be sent, by the monotonic clock; it then ends as expired
     */
    record SendRelease(
            long callId, Owner owner, int firstKey, int lastKey, long fence, String healthPath, long sendBeforeNanos)
            implements KeyAction {}

    /** Writes {@code map} if the stored map is still at {@code expectedRevision}; 0 means that none is stored. */
    record WriteMap(KeyMap map, long expectedRevision) implements KeyAction {}

    /** Publishes {@code map}, whose version is stored, to all routers. */
    record PublishMap(KeyMap map) implements KeyAction {}

    /** Reads the map of {@code service} from the store. */
    record ReadMap(String service) implements KeyAction {}

    /**
     * The keys of {@code service} began to leave an evacuated data centre, went on leaving it or have left it. A range
     * counts as there until an owner elsewhere holds its grant.
     *
     * @param service the service
     * @param dataCentre the evacuated data centre
     * @param state how far it is
     * @param firstRanges the ranges with an owner there when this controller began
     * @param ranges the ranges with an owner there now
     * @param elapsedMillis the time since this process learned of the evacuation, in milliseconds
     */
    record EvacuationChanged(
            String service, String dataCentre, State state, int firstRanges, int ranges, long elapsedMillis)
            implements KeyAction {

        /** How far the keys have left an evacuated data centre. */
        public enum State {
            STARTED,
            UNDER_WAY,
            COMPLETED,
            /** The data centre was taken back, or this controller lost control. */
            ABANDONED
        }
    }

    /** Writes a log line. */
    record Report(String event, String detail) implements KeyAction {}
}
