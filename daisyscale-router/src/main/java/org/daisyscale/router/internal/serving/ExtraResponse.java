package org.daisyscale.router.internal.serving;

import org.daisyscale.router.serving.ServingRouterSettings.Address;

/**
 * A response, or other bytes, that a connection received and that no call was waiting for. Immutable.
 *
 * @param kind what was received
 * @param requestId the id of the request that the response names; empty for none
 * @param status the status code; 0 if the bytes are not a response
 * @param serverId the id of the backend server that the latest call on the connection was for; {@link #UNKNOWN_SERVER}
 *     if no call named one
 * @param server the address of the server that sent it
 * @param connectionId the id of the connection, unique in this process
 * @param millisSinceFirst the time since the first response to that request on this connection, in milliseconds;
 *     {@link #NO_FIRST} if there was none
 * @param inFlight the id of the request that waited for its response meanwhile; empty for a call that names none, and
 *     {@link #NOTHING_IN_FLIGHT} if the connection was idle
 */
record ExtraResponse(
        Kind kind,
        String requestId,
        int status,
        String serverId,
        Address server,
        String connectionId,
        long millisSinceFirst,
        String inFlight) {
    static final long NO_FIRST = -1;
    static final String UNKNOWN_SERVER = "unknown";
    static final String NOTHING_IN_FLIGHT = "none";

    /** What an extra response is. */
    enum Kind {
        /** The request that it names was answered before on the same connection. */
        COPY("copy"),
        /** It names a request that was not answered on the connection. */
        FOREIGN("foreign"),
        /** It names no request. */
        UNNAMED("unnamed"),
        /** The bytes are not the head of a response. */
        NOT_A_RESPONSE("not-a-response");

        private final String label;

        Kind(String label) {
            this.label = label;
        }

        /** Returns the name in logs and metrics. */
        String label() {
            return label;
        }
    }

    /** Returns the circumstances as a log line has them. */
    String describe() {
        return "kind=%s requestId=%s status=%d serverId=%s server=%s:%d connection=%s millisSinceFirst=%d inFlight=%s"
                .formatted(
                        kind.label(),
                        requestId,
                        status,
                        serverId,
                        server.host(),
                        server.port(),
                        connectionId,
                        millisSinceFirst,
                        inFlight);
    }
}
