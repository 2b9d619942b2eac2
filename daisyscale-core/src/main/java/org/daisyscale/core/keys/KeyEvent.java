package org.daisyscale.core.keys;

import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.core.serving.ServingEvent;

/** What happened to the control of keys. Each event is immutable. */
public sealed interface KeyEvent {

    /** This router controls the keys, until {@code validUntilNanos} of its monotonic clock. */
    record LeaseRenewed(long validUntilNanos) implements KeyEvent {}

    /** The lease could not be renewed in time; it still lasts until it ends. */
    record LeaseInDoubt() implements KeyEvent {}

    /** This router no longer controls the keys. */
    record LeaseLost() implements KeyEvent {}

    /** The fleet changed: configuration, servers or evacuations. */
    record FleetChanged(ServingEvent change) implements KeyEvent {}

    /** {@code map} lies in the store at {@code revision}. */
    record MapRead(KeyMap map, long revision) implements KeyEvent {}

    /** The store has no map of {@code service}. */
    record MapAbsent(String service) implements KeyEvent {}

    /** A write of {@code map} was accepted and lies in the store at {@code revision}. */
    record MapWritten(KeyMap map, long revision) implements KeyEvent {}

    /** A write failed, or its end is not known; the map of {@code service} will be read again. */
    record MapWriteFailed(String service) implements KeyEvent {}

    /** A router reported its requests. */
    record LoadReported(KeyLoad load) implements KeyEvent {}

    /** The server took the grant of the call. */
    record GrantTaken(long callId) implements KeyEvent {}

    /** The server refused the grant of the call, since it knows a higher fence. */
    record GrantRefused(long callId) implements KeyEvent {}

    /** The renewal was not sent: that the process that took the fence would get it could not be made sure of. */
    record ServerUnproved(long callId) implements KeyEvent {}

    /** The call has no answer; with {@code wasSent} the server may have got it. */
    record CallUnanswered(long callId, boolean wasSent) implements KeyEvent {}

    /** The server released the range of the call; {@code handover} is empty when it gave none. */
    record Released(long callId, String handover) implements KeyEvent {}

    /** At the address of the call is another process: the server has ended. */
    record OwnerGone(long callId) implements KeyEvent {}

    /** Time passed; something may be due. */
    record TimePassed() implements KeyEvent {}
}
