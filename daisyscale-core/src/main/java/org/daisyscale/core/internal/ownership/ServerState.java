package org.daisyscale.core.internal.ownership;

import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;
import org.daisyscale.core.membership.ServerStatus;

/**
 * The state of one backend server according to this router's probes and grants. Immutable.
 *
 * @param status the newest status; null before the first
 * @param clock the lower bound on the server's clock; null before the first status
 * @param firstSeenNanos when the first answer of the incarnation arrived, in nanoseconds
 * @param answeredSentNanos when the newest answered probe was sent, in nanoseconds
 * @param failedCount the probes that failed since the newest answered one
 * @param acceptedMapVersion the highest map version of a grant that the incarnation accepted; 0 for none
 */
public record ServerState(
        ServerStatus status,
        ServerClock clock,
        long firstSeenNanos,
        long answeredSentNanos,
        int failedCount,
        long acceptedMapVersion) {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Returns the state before the first probe. */
    static ServerState unknown() {
        return new ServerState(null, null, 0, Long.MIN_VALUE, 0, 0);
    }

    /** Returns the state after an answered probe; a late answer to an older probe changes nothing. */
    ServerState answered(Event.ProbeAnswered probe) {
        if (status != null && probe.sentNanos() < answeredSentNanos) {
            return this;
        }
        boolean isSameIncarnation =
                status != null && status.incarnation().equals(probe.status().incarnation());
        ServerClock newClock =
                new ServerClock(probe.receivedNanos(), probe.status().clockMillis());
        return new ServerState(
                probe.status(),
                newClock,
                isSameIncarnation ? firstSeenNanos : probe.receivedNanos(),
                probe.sentNanos(),
                0,
                isSameIncarnation ? acceptedMapVersion : 0);
    }

    /** Returns the state after a failed probe. */
    ServerState failed() {
        return new ServerState(status, clock, firstSeenNanos, answeredSentNanos, failedCount + 1, acceptedMapVersion);
    }

    /** Returns the state after the server accepted a grant from map version {@code mapVersion}. */
    ServerState granted(long mapVersion) {
        return new ServerState(
                status,
                clock,
                firstSeenNanos,
                answeredSentNanos,
                failedCount,
                Math.max(acceptedMapVersion, mapVersion));
    }

    /**
     * Returns the time since the newest answered probe was sent, in milliseconds; {@link Long#MAX_VALUE} if no probe
     * was answered.
     */
    public long silentMillis(Moment now) {
        return status == null ? Long.MAX_VALUE : (now.nanos() - answeredSentNanos) / NANOS_PER_MILLI;
    }
}
