package org.daisyscale.router.internal.peer;

import org.daisyscale.codec.peer.PeerCodec;
import org.daisyscale.core.peer.PeerMessage;

/**
 * Encodes messages. Caches the frames of the last few messages by identity, so that a message to many peers is encoded
 * only once. Not thread-safe; confined to the thread of one event loop.
 */
final class FrameEncoder {
    /** Covers the messages that are sent to all peers at about the same time. */
    private static final int CACHE_SIZE = 8;

    private final PeerCodec codec;
    private final PeerMessage[] messages = new PeerMessage[CACHE_SIZE];
    private final byte[][] frames = new byte[CACHE_SIZE][];
    private int next;

    FrameEncoder(PeerCodec codec) {
        this.codec = codec;
    }

    /**
     * Returns the encoded {@code message}. The array is shared and must not be modified. Throws the exceptions of
     * {@link PeerCodec#encode}.
     */
    byte[] encode(PeerMessage message) {
        for (int index = 0; index < CACHE_SIZE; index++) {
            if (messages[index] == message) {
                return frames[index];
            }
        }
        byte[] frame = codec.encode(message);
        messages[next] = message;
        frames[next] = frame;
        next = (next + 1) % CACHE_SIZE;
        return frame;
    }
}
