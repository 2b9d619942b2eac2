package org.daisyscale.core.internal.ownership;

import org.daisyscale.core.Moment;
import org.daisyscale.core.peer.PeerMessage;

/**
 * A peer's latest answer to a ping. Immutable.
 *
 * @param pingSentNanos when the ping was sent, on this router's monotonic clock, in nanoseconds
 * @param mapVersion the newest map version that the peer knew
 * @param configurationRevision the configuration revision in force at the peer
 * @param isStopping whether the peer is in a planned stop
 * @param isConnected whether the connection to the peer is still open
 */
public record PeerEvidence(
        long pingSentNanos, long mapVersion, long configurationRevision, boolean isStopping, boolean isConnected) {

    /** Returns the evidence of {@code pong}. An echoed time in the future is replaced by {@code now}. */
    static PeerEvidence of(PeerMessage.Pong pong, Moment now) {
        long sentNanos = Math.min(pong.echoSentNanos(), now.nanos());
        return new PeerEvidence(sentNanos, pong.mapVersion(), pong.configurationRevision(), pong.isStopping(), true);
    }

    /** Returns the evidence after the connection to the peer ended. */
    PeerEvidence disconnected() {
        return new PeerEvidence(pingSentNanos, mapVersion, configurationRevision, isStopping, false);
    }

    /** Returns the evidence of the later ping. Answers may arrive late or out of order. */
    static PeerEvidence newest(PeerEvidence one, PeerEvidence other) {
        return other.pingSentNanos >= one.pingSentNanos ? other : one;
    }
}
