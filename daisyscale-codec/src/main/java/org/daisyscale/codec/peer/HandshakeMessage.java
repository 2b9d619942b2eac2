package org.daisyscale.codec.peer;

/**
 * What two routers say before they trust a connection. The dialer says {@link Hello}, the other side answers with a
 * {@link Challenge}, the dialer with a {@link Proof}, and the other side ends it by {@link Accepted}. The shared secret
 * itself is never said. Immutable but for the arrays, which nobody changes.
 */
public sealed interface HandshakeMessage {

    /**
     * Opens the handshake.
     *
     * @param routerId the dialer's router id
     * @param nonce random bytes of the dialer
     */
    record Hello(String routerId, byte[] nonce) implements HandshakeMessage {}

    /**
     * Answers a {@link Hello}.
     *
     * @param routerId the answering router's id
     * @param nonce random bytes of the answering router
     * @param proof its proof that it knows the secret
     */
    record Challenge(String routerId, byte[] nonce, byte[] proof) implements HandshakeMessage {}

    /**
     * Answers a {@link Challenge}.
     *
     * @param proof the dialer's proof that it knows the secret
     */
    record Proof(byte[] proof) implements HandshakeMessage {}

    /** Ends the handshake: the dialer may send. */
    record Accepted() implements HandshakeMessage {}
}
