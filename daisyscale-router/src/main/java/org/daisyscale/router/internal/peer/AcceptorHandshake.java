package org.daisyscale.router.internal.peer;

import java.util.Optional;
import org.daisyscale.codec.peer.HandshakeMessage;
import org.daisyscale.router.internal.peer.PeerSecret.HandshakeTranscript;
import org.daisyscale.router.internal.peer.PeerSecret.Side;

/**
 * The acceptor's side of the handshake: answers the dialer's hello with a challenge and verifies the dialer's proof.
 * Not thread-safe.
 */
final class AcceptorHandshake implements Handshake {
    private final String ownId;
    private final PeerSecret secret;
    private final byte[] nonce = PeerSecret.newNonce();
    private HandshakeTranscript transcript;
    private boolean isComplete;

    AcceptorHandshake(String ownId, PeerSecret secret) {
        this.ownId = ownId;
        this.secret = secret;
    }

    @Override
    public Optional<HandshakeMessage> openingMessage() {
        return Optional.empty();
    }

    @Override
    public Step receive(HandshakeMessage message) {
        if (transcript == null && message instanceof HandshakeMessage.Hello hello) {
            return challenge(hello);
        }
        if (transcript != null && !isComplete && message instanceof HandshakeMessage.Proof proof) {
            return verifyProof(proof);
        }
        throw Handshake.unexpectedMessage(message);
    }

    private Step challenge(HandshakeMessage.Hello hello) {
        if (!Handshake.isWellFormed(hello.routerId(), hello.nonce())) {
            throw Handshake.unexpectedMessage(hello);
        }
        if (hello.routerId().equals(ownId)) {
            throw new PeerException(PeerErrorCode.WRONG_PEER, "the dialer uses this router's own id", null);
        }
        transcript = new HandshakeTranscript(hello.routerId(), ownId, hello.nonce(), nonce);
        return Step.answer(
                new HandshakeMessage.Challenge(ownId, nonce, secret.computeProof(Side.ACCEPTOR, transcript)));
    }

    private Step verifyProof(HandshakeMessage.Proof proof) {
        if (!secret.isValidProof(proof.proof(), Side.DIALER, transcript)) {
            throw new PeerException(
                    PeerErrorCode.UNAUTHENTICATED,
                    "invalid proof from a dialer with the id " + transcript.dialerId(),
                    null);
        }
        isComplete = true;
        return new Step(Optional.of(new HandshakeMessage.Accepted()), Optional.of(transcript.dialerId()));
    }
}
