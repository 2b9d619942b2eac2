package org.daisyscale.router.internal.peer;

import org.daisyscale.codec.peer.PeerCodec;
import org.daisyscale.core.peer.PeerMessage;

/**
 * Encodes messages, and one that goes to many peers only once: it remembers the last few by identity. Used by the
 * thread of one event loop.
 */
final class FrameEncoder {
    /** The messages that are told to all peers at about the same time. */
    private static final int REMEMBERED = 8;

    private final PeerCodec codec;
    private final PeerMessage[] messages = new PeerMessage[REMEMBERED];
    private final byte[][] frames = new byte[REMEMBERED][];
    private int next;

    FrameEncoder(PeerCodec codec) {
        this.codec = codec;
    }

    /** The bytes of {@code message}, which nobody changes; it fails as {@link PeerCodec#encode}. */
    byte[] encode(PeerMessage message) {
        for (int index = 0; index < REMEMBERED; index++) {
            if (messages[index] == message) {
                return frames[index];
            }
        }
        byte[] frame = codec.encode(message);
        messages[next] = message;
        frames[next] = frame;
        next = (next + 1) % REMEMBERED;
        return frame;
    }
}
