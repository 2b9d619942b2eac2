package org.daisyscale.router.internal.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The secret that all routers of a region share. Computes and verifies proofs (HMAC-SHA-256) that a side knows the
 * secret without revealing it; {@link #toString} hides the secret. Immutable and thread-safe.
 */
public final class PeerSecret {
    static final int NONCE_BYTES = 32;

    private static final String ALGORITHM = "HmacSHA256";
    private static final SecureRandom RANDOM = new SecureRandom();

    private final SecretKeySpec key;

    private PeerSecret(byte[] bytes) {
        this.key = new SecretKeySpec(bytes, ALGORITHM);
    }

    /**
     * Returns the secret in {@code text}, without leading and trailing white space.
     *
     * @throws PeerException if nothing else is left of it
     */
    public static PeerSecret of(String text) {
        String stripped = text.strip();
        if (stripped.isEmpty()) {
            throw new PeerException(PeerErrorCode.SECRET_MISSING, "it has no characters other than white space", null);
        }
        return new PeerSecret(stripped.getBytes(StandardCharsets.UTF_8));
    }

    static byte[] newNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return nonce;
    }

    byte[] computeProof(Side prover, HandshakeTranscript transcript) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            mac.update(prover.label);
            transcript.fields().forEach(field -> updateWithLength(mac, field));
            return mac.doFinal();
        } catch (GeneralSecurityException e) {
            throw new PeerException(PeerErrorCode.UNAUTHENTICATED, "cannot compute " + ALGORITHM, e);
        }
    }

    boolean isValidProof(byte[] proof, Side prover, HandshakeTranscript transcript) {
        return proof != null && MessageDigest.isEqual(proof, computeProof(prover, transcript));
    }

    private static void updateWithLength(Mac mac, byte[] field) {
        mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(field.length).flip());
        mac.update(field);
    }

    @Override
    public String toString() {
        return "PeerSecret[hidden]";
    }

    /**
     * The side that computes a proof. Each side has its own label, so that a proof cannot be reflected to its sender.
     */
    enum Side {
        DIALER("daisyscale-peer-dialer-1"),
        ACCEPTOR("daisyscale-peer-acceptor-1");

        private final byte[] label;

        Side(String label) {
            this.label = label.getBytes(StandardCharsets.UTF_8);
        }
    }

    /**
     * The values that a proof is computed over. Immutable.
     *
     * @param dialerId the dialer's router id
     * @param acceptorId the acceptor's router id
     * @param dialerNonce the dialer's nonce
     * @param acceptorNonce the acceptor's nonce
     */
    record HandshakeTranscript(String dialerId, String acceptorId, byte[] dialerNonce, byte[] acceptorNonce) {

        private List<byte[]> fields() {
            return List.of(
                    dialerId.getBytes(StandardCharsets.UTF_8),
                    acceptorId.getBytes(StandardCharsets.UTF_8),
                    dialerNonce,
                    acceptorNonce);
        }
    }
}
