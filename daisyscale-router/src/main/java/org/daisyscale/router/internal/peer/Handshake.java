package org.daisyscale.router.internal.peer;

import java.util.Optional;
import org.daisyscale.codec.peer.HandshakeMessage;

/**
 * One side of the handshake in which both sides prove that they know the shared secret. Does no input or output.
 * Implementations are not thread-safe.
 */
interface Handshake {

    /** Returns the message that this side sends first, or empty when it waits for the other side. */
    Optional<HandshakeMessage> openingMessage();

    /**
     * Handles {@code message} and returns the next step.
     *
     * @throws PeerException if the other side fails authentication or violates the protocol
     */
    Step receive(HandshakeMessage message);

    /** Returns the exception for a message that is malformed or out of order. */
    static PeerException unexpectedMessage(HandshakeMessage message) {
        String type = message.getClass().getSimpleName();
        return new PeerException(PeerErrorCode.BAD_HANDSHAKE, type + " was not expected or has invalid fields", null);
    }

    /** Returns whether {@code routerId} is not blank and {@code nonce} has the required length. */
    static boolean isWellFormed(String routerId, byte[] nonce) {
        return routerId != null && !routerId.isBlank() && nonce != null && nonce.length == PeerSecret.NONCE_BYTES;
    }

    /**
     * The result of handling one message. Immutable.
     *
     * @param answer the message to send back, if any
     * @param authenticatedPeer the other router's id; empty until the handshake is complete on this side
     */
    record Step(Optional<HandshakeMessage> answer, Optional<String> authenticatedPeer) {

        static Step answer(HandshakeMessage answer) {
            return new Step(Optional.of(answer), Optional.empty());
        }
    }
}
