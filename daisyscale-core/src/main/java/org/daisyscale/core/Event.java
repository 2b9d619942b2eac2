package org.daisyscale.core;

import java.util.List;
import org.daisyscale.core.document.Configuration;
import org.daisyscale.core.membership.ServerStatus;
import org.daisyscale.core.membership.VmRecord;
import org.daisyscale.core.ownership.OwnershipMap;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.platform.WriteOutcome;
import org.daisyscale.core.request.BackendOutcome;
import org.daisyscale.core.request.RequestMeta;

/** An input of the core: something that happened outside it. Each event is immutable. */
public sealed interface Event {

    /** Time has passed; the core runs the timers that are due. */
    record TimePassed() implements Event {}

    /**
     * A caller's request arrived with its complete body.
     *
     * @param requestId the request's id, unique at this router
     * @param meta the request's metadata, without the body
     */
    record RequestArrived(String requestId, RequestMeta meta) implements Event {}

    /**
     * The caller of a request disconnected.
     *
     * @param requestId the request's id
     */
    record CallerGone(String requestId) implements Event {}

    /**
     * An order of this router ended, or could not be sent.
     *
     * @param requestId the request's id
     * @param orderId the order's id
     * @param outcome the outcome of the order
     * @param serviceMicros the time from sending the order to its complete answer, in microseconds
     */
    record OrderEnded(String requestId, String orderId, BackendOutcome outcome, long serviceMicros) implements Event {}

    /**
     * A message arrived from an authenticated peer.
     *
     * @param from the peer's router id
     * @param message the message
     */
    record PeerMessageReceived(String from, PeerMessage message) implements Event {}

    /**
     * A connection to a peer was established.
     *
     * @param peer the peer's router id
     */
    record PeerConnected(String peer) implements Event {}

    /**
     * The connection to a peer ended.
     *
     * @param peer the peer's router id
     */
    record PeerDisconnected(String peer) implements Event {}

    /**
     * The platform's list of VMs was read.
     *
     * @param vms the list, which may lag behind the actual VMs
     */
    record VmListRead(List<VmRecord> vms) implements Event {

        public VmListRead {
            vms = List.copyOf(vms);
        }
    }

    /**
     * The ownership map was read from the platform's service.
     *
     * @param map the map; {@link OwnershipMap#empty()} if none is stored
     */
    record MapRead(OwnershipMap map) implements Event {}

    /**
     * The configuration was read from the platform's service.
     *
     * @param configuration the configuration; null if none is stored
     */
    record ConfigurationRead(Configuration configuration) implements Event {}

    /**
     * The platform's service could not be reached.
     *
     * @param reason the reason, as human-readable text
     */
    record PlatformUnreachable(String reason) implements Event {}

    /**
     * The control lease was acquired or renewed.
     *
     * @param term the control term
     * @param requestedNanos the time on the router's monotonic clock before the call was sent, in nanoseconds
     */
    record ControlLeaseHeld(long term, long requestedNanos) implements Event {}

    /**
     * The control lease is held by another router, or was lost.
     *
     * @param holder the holder's router id; empty if unknown
     */
    record ControlLeaseLost(String holder) implements Event {}

    /**
     * A write of the ownership map ended.
     *
     * @param writeId the write's id
     * @param outcome the outcome of the write
     */
    record MapWriteEnded(String writeId, WriteOutcome outcome) implements Event {}

    /**
     * An operator proposed a configuration that is based on the preceding revision.
     *
     * @param requestId the operator request's id
     * @param configuration the proposed configuration, with the revision that it gets if accepted
     */
    record ConfigurationProposed(String requestId, Configuration configuration) implements Event {}

    /**
     * A write of the configuration ended.
     *
     * @param writeId the write's id
     * @param outcome the outcome of the write
     */
    record ConfigurationWriteEnded(String writeId, WriteOutcome outcome) implements Event {}

    /**
     * A backend server answered a probe.
     *
     * @param server the server's id
     * @param sentNanos the time on the router's monotonic clock before the probe was sent, in nanoseconds
     * @param receivedNanos the time on the router's monotonic clock after the answer arrived, in nanoseconds
     * @param status the status that the server reported
     */
    record ProbeAnswered(String server, long sentNanos, long receivedNanos, ServerStatus status) implements Event {}

    /**
     * A backend server failed to answer a probe.
     *
     * @param server the server's id
     * @param sentNanos the time on the router's monotonic clock before the probe was sent, in nanoseconds
     */
    record ProbeFailed(String server, long sentNanos) implements Event {}

    /**
     * A backend server answered a grant.
     *
     * @param server the server's id
     * @param mapVersion the map version of the grant
     * @param isAccepted whether the server accepted the grant
     * @param serverMapVersion the highest map version that the server has seen
     */
    record GrantAnswered(String server, long mapVersion, boolean isAccepted, long serverMapVersion) implements Event {}

    /**
     * A backend server did not answer a grant; the server may have accepted the grant.
     *
     * @param server the server's id
     * @param mapVersion the map version of the grant
     */
    record GrantUnanswered(String server, long mapVersion) implements Event {}

    /**
     * An operator requested the state of this router.
     *
     * @param requestId the operator request's id
     */
    record StatusRequested(String requestId) implements Event {}

    /** A planned stop of this router was requested. */
    record StopRequested() implements Event {}
}
