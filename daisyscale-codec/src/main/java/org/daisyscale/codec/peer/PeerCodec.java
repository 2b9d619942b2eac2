package org.daisyscale.codec.peer;

import java.util.function.Function;
import org.daisyscale.codec.internal.EnvelopeCodec;
import org.daisyscale.core.document.EnvironmentDocument;
import org.daisyscale.core.peer.PeerMessage;

/**
 * Encodes and decodes the messages between routers as MessagePack, each in an envelope with the protocol version and
 * the message's type name. Immutable and thread-safe.
 *
 * <pre>{@code
 * PeerCodec codec = new PeerCodec(documentReader::read);
 * byte[] bytes = codec.encode(new PeerMessage.MapRequest());
 * PeerMessage same = codec.decode(bytes);
 * }</pre>
 */
public final class PeerCodec {
    /** Must be increased if a router of the previous release could misread a message. */
    public static final int PROTOCOL_VERSION = 3;

    private final EnvelopeCodec<PeerMessage> envelopes;

    /** Creates a codec that parses the document text of a configuration with {@code documentParser}. */
    public PeerCodec(Function<String, EnvironmentDocument> documentParser) {
        this.envelopes = new EnvelopeCodec<>(PeerMessage.class, PROTOCOL_VERSION, documentParser);
    }

    /**
     * Encodes {@code message} in its envelope.
     *
     * @throws org.daisyscale.codec.CodecException if the message can't be encoded
     */
    public byte[] encode(PeerMessage message) {
        return envelopes.encode(message);
    }

    /**
     * Decodes the message in {@code bytes}.
     *
     * @throws org.daisyscale.codec.CodecException if the message is malformed, of an unknown type or of another
     *     protocol version
     */
    public PeerMessage decode(byte[] bytes) {
        return envelopes.decode(bytes);
    }
}
