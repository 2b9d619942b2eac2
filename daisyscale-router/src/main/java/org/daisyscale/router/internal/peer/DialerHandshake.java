package org.daisyscale.router.internal.peer;

import java.util.Optional;
import org.daisyscale.codec.peer.HandshakeMessage;
import org.daisyscale.router.internal.peer.PeerSecret.HandshakeTranscript;
import org.daisyscale.router.internal.peer.PeerSecret.Side;

/**
 * The dialer's side of the handshake: sends its proof only after the other side has proved the secret and identified
 * itself as the router that was dialed. Not thread-safe.
 */
final class DialerHandshake implements Handshake {
    private final String ownId;
    private final String peerId;
    private final PeerSecret secret;
    private final byte[] nonce = PeerSecret.newNonce();
    private boolean isProofSent;

    DialerHandshake(String ownId, String peerId, PeerSecret secret) {
        this.ownId = ownId;
        this.peerId = peerId;
        this.secret = secret;
    }

    @Override
    public Optional<HandshakeMessage> openingMessage() {
        return Optional.of(new HandshakeMessage.Hello(ownId, nonce));
    }

    @Override
    public Step receive(HandshakeMessage message) {
        if (!isProofSent && message instanceof HandshakeMessage.Challenge challenge) {
            return answerChallenge(challenge);
        }
        if (isProofSent && message instanceof HandshakeMessage.Accepted) {
            return new Step(Optional.empty(), Optional.of(peerId));
        }
        throw Handshake.unexpectedMessage(message);
    }

    private Step answerChallenge(HandshakeMessage.Challenge challenge) {
        if (!Handshake.isWellFormed(challenge.routerId(), challenge.nonce())) {
            throw Handshake.unexpectedMessage(challenge);
        }
        HandshakeTranscript transcript = new HandshakeTranscript(ownId, challenge.routerId(), nonce, challenge.nonce());
        if (!secret.isValidProof(challenge.proof(), Side.ACCEPTOR, transcript)) {
            throw new PeerException(
                    PeerErrorCode.UNAUTHENTICATED, "invalid proof from the router dialed as " + peerId, null);
        }
        if (!challenge.routerId().equals(peerId)) {
            String detail = "dialed %s, answered %s".formatted(peerId, challenge.routerId());
            throw new PeerException(PeerErrorCode.WRONG_PEER, detail, null);
        }
        isProofSent = true;
        return Step.answer(new HandshakeMessage.Proof(secret.computeProof(Side.DIALER, transcript)));
    }
}
