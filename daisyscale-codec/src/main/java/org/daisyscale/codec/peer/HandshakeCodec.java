package org.daisyscale.codec.peer;

import org.daisyscale.codec.CodecErrorCode;
import org.daisyscale.codec.CodecException;
import org.daisyscale.codec.internal.EnvelopeCodec;
import org.daisyscale.core.document.EnvironmentDocument;

/**
 * Encodes and decodes the messages of the handshake between routers as MessagePack, in the same envelope as the
 * messages that follow. Immutable and thread-safe.
 *
 * <pre>{@code
 * byte[] bytes = new HandshakeCodec().encode(new HandshakeMessage.Hello(routerId, nonce));
 * }</pre>
 */
public final class HandshakeCodec {
    private final EnvelopeCodec<HandshakeMessage> envelopes =
            new EnvelopeCodec<>(HandshakeMessage.class, PeerCodec.PROTOCOL_VERSION, HandshakeCodec::rejectDocument);

    /**
     * Encodes {@code message} in its envelope.
     *
     * @throws CodecException if the message can't be encoded
     */
    public byte[] encode(HandshakeMessage message) {
        return envelopes.encode(message);
    }

    /**
     * Decodes the message in {@code bytes}.
     *
     * @throws CodecException if the message is malformed, of an unknown type or of another protocol version
     */
    public HandshakeMessage decode(byte[] bytes) {
        return envelopes.decode(bytes);
    }

    private static EnvironmentDocument rejectDocument(String text) {
        throw new CodecException(CodecErrorCode.MALFORMED_MESSAGE, "a handshake carries no document", null);
    }
}
