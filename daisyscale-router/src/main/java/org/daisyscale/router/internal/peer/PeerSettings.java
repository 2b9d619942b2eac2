package org.daisyscale.router.internal.peer;

/**
 * The settings of a router's connections to its peers. Immutable.
 *
 * @param routerId this router's id
 * @param host the IP address to listen on
 * @param port the port to listen on; 0 for any free one
 * @param maxFrameBytes the largest frame, in bytes
 * @param outboxLimit the maximum number of messages pending for one peer, not counting state messages
 * @param connectTimeoutMillis the connect timeout, in milliseconds
 * @param handshakeTimeoutMillis the maximum duration of the handshake, in milliseconds
 * @param keepaliveMillis an empty frame is sent after this time without a write, in milliseconds
 * @param silenceTimeoutMillis a connection is closed after this time without a received frame, in milliseconds
 * @param minRedialMillis the first delay before dialing again, in milliseconds; it doubles with each attempt
 * @param maxRedialMillis the maximum delay before dialing again, in milliseconds
 */
public record PeerSettings(
        String routerId,
        String host,
        int port,
        int maxFrameBytes,
        int outboxLimit,
        int connectTimeoutMillis,
        long handshakeTimeoutMillis,
        long keepaliveMillis,
        long silenceTimeoutMillis,
        long minRedialMillis,
        long maxRedialMillis) {
    public static final int DEFAULT_MAX_FRAME_BYTES = 8 << 20;

    /** Returns the default settings for the router {@code routerId}, which listens on {@code host} and {@code port}. */
    public static PeerSettings defaults(String routerId, String host, int port) {
        return new PeerSettings(
                routerId, host, port, DEFAULT_MAX_FRAME_BYTES, 4_096, 500, 1_000, 500, 2_000, 50, 2_000);
    }
}
