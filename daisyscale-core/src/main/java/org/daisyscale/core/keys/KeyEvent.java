package org.daisyscale.core.keys;

import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.core.serving.ServingEvent;

/** An event that the controller of keys handles. Each event is immutable. */
public sealed interface KeyEvent {

    /** This router holds the control lease until {@code validUntilNanos} of its monotonic clock. */
    record LeaseRenewed(long validUntilNanos) implements KeyEvent {}

    /** The lease could not be renewed in time; it stays valid until it expires. */
    record LeaseInDoubt() implements KeyEvent {}

    /** The lease may have expired while this router's VM was suspended; it counts again once it is renewed. */
    record LeaseUncertain() implements KeyEvent {}

    /** This router no longer holds the control lease. */
    record LeaseLost() implements KeyEvent {}

    /**
     * The store was restored from an older copy, which begins {@code era}. This router has no control until the lease
     * counts as renewed again.
     *
     * @param isControlUnbroken whether this router, if it held the control, knows of no time in which it did not
     */
    record StoreRestored(long era, boolean isControlUnbroken) implements KeyEvent {}

    /** The store is in {@code era}, as it was when this router first called it. */
    record EraKnown(long era) implements KeyEvent {}

    /** The fleet changed: configuration, servers or evacuations. */
    record FleetChanged(ServingEvent change) implements KeyEvent {}

    /** {@code map} was read from the store, where it has {@code revision}. */
    record MapRead(KeyMap map, long revision) implements KeyEvent {}

    /** The store has no map of {@code service}. */
    record MapAbsent(String service) implements KeyEvent {}

    /** A write of {@code map} was accepted; it is stored with {@code revision}. */
    record MapWritten(KeyMap map, long revision) implements KeyEvent {}

    /** A write failed or its outcome is unknown; the map of {@code service} will be read again. */
    record MapWriteFailed(String service) implements KeyEvent {}

    /** A router reported the load of its requests. */
    record LoadReported(KeyLoad load) implements KeyEvent {}

    /**
     * The grant of the call was answered as accepted. Unless {@code isProven}, the response may be a copy of an earlier
     * one, so that the server may get the grant later or reject it.
     */
    record GrantAccepted(long callId, boolean isProven) implements KeyEvent {}

    /** The server rejected the grant of the call, since it knows a higher fence. */
    record GrantRejected(long callId) implements KeyEvent {}

    /** The renewal was not sent, since a process other than the one that accepted the fence might get it. */
    record RenewalUnverified(long callId) implements KeyEvent {}

    /** The call got no answer; the server may have received it if {@code wasSent}. */
    record CallUnanswered(long callId, boolean wasSent) implements KeyEvent {}

    /** This router did not send the call in time, which says nothing about the server. */
    record CallExpired(long callId) implements KeyEvent {}

    /** The server released the range of the call; {@code handover} is empty if the server gave none. */
    record Released(long callId, String handover) implements KeyEvent {}

    /** Another process runs at the address of the call: the server that owned the range has ended. */
    record OwnerGone(long callId) implements KeyEvent {}

    /** Time passed, so that calls or plans may be due. */
    record TimePassed() implements KeyEvent {}
}
